#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::core {

/** One validation error in a JSON document. */
struct JsonFault
{
  /** JSON Pointer to the value; empty for the document itself. */
  std::string path;
  std::string expected;
  std::string found;
};

/** @return the fault as one line, without a file name. */
std::string
ToText(const JsonFault& aFault);

/** Whether a key is required. */
enum class Presence
{
  Required,
  Optional,
};

/** Inclusive range of integers that a key may hold. */
struct IntegerRange
{
  std::uint64_t min = 0;
  std::uint64_t max = 0;
};

/** Validation rule for a string, and its description for the `expected` of a fault. */
struct TextRule
{
  std::string_view expected;
  std::function<bool(std::string_view)> isMet;
};

/**
 * Reads one object of a JSON document into a struct. Collects every fault with its path instead of
 * stopping at the first. A key that is missing or invalid leaves its target unchanged.
 */
class JsonReader
{
public:
  /** Reads one object: an element of an array, or the value of a key. */
  using ObjectFunction = std::function<void(JsonReader&)>;

  /** Reads a value of any type. */
  using AnyFunction = std::function<void(const nlohmann::json&)>;

  /**
   * @param aValue the value to read, a fault if it is not an object; must outlive the reader.
   * @param aPath JSON Pointer to the value.
   * @param aFaults receives the faults; must outlive the reader.
   */
  JsonReader(const nlohmann::json& aValue, std::string aPath, std::vector<JsonFault>& aFaults);

  /** Reads a string. */
  void Text(const char* aKey, std::string& aTarget, const TextRule& aRule, Presence aPresence);

  /** Reads an array of at least `aMinCount` strings. */
  void Texts(const char* aKey,
             std::vector<std::string>& aTarget,
             const TextRule& aRule,
             Presence aPresence,
             std::size_t aMinCount = 0);

  /** Reads a boolean. */
  void Boolean(const char* aKey, bool& aTarget, Presence aPresence);

  /** Reads an unsigned 32-bit integer. */
  void Integer(const char* aKey, std::uint32_t& aTarget, IntegerRange aRange, Presence aPresence);

  /** Reads an unsigned 64-bit integer. */
  void Integer64(const char* aKey, std::uint64_t& aTarget, IntegerRange aRange, Presence aPresence);

  /** Reads an unsigned 64-bit integer; the target stays unset when the key is missing. */
  void Integer64(const char* aKey,
                 std::optional<std::uint64_t>& aTarget,
                 IntegerRange aRange,
                 Presence aPresence);

  /** Reads an integer number of milliseconds. */
  void Milliseconds(const char* aKey,
                    std::chrono::milliseconds& aTarget,
                    IntegerRange aRange,
                    Presence aPresence);

  /** Reads a number of seconds greater than 0, which may have a fraction. */
  void Seconds(const char* aKey, std::chrono::milliseconds& aTarget, Presence aPresence);

  /** Reads an object whose values are all strings. */
  void TextMap(const char* aKey, std::map<std::string, std::string>& aTarget, Presence aPresence);

  /** Reads a ratio, 0 to 1. */
  void Share(const char* aKey, double& aTarget, Presence aPresence);

  /** Reads a nested object. */
  void Object(const char* aKey, const ObjectFunction& aRead, Presence aPresence);

  /**
   * Reads an array of objects.
   *
   * @param aRead called for each element, also for one that is not an object.
   * @param aMinCount minimum number of elements.
   */
  void Objects(const char* aKey,
               const ObjectFunction& aRead,
               Presence aPresence,
               std::size_t aMinCount = 0);

  /** Passes the value of a key, of any type, to a function. */
  void Any(const char* aKey,
           std::string_view aExpected,
           const AnyFunction& aRead,
           Presence aPresence);

  /** Reports every key that was never read as a fault, and suggests the most similar known key. */
  void RejectUnknownKeys();

private:
  const nlohmann::json* mObject = nullptr;
  std::string mPath;
  std::vector<JsonFault>& mFaults;
  std::vector<std::string_view> mKnownKeys;

  const nlohmann::json* FindArray(const char* aKey, Presence aPresence, std::size_t aMinCount);
  const nlohmann::json* Find(const char* aKey, std::string_view aExpected, Presence aPresence);
  std::string PathOf(std::string_view aKey) const;
  void AddFault(std::string aPath, std::string aExpected, std::string aFound);
  std::optional<std::uint64_t> ReadUnsigned(const char* aKey,
                                            IntegerRange aRange,
                                            Presence aPresence);
};

/**
 * Parses JSON. Duplicate keys in an object are a fault, because it is not evident which of the two
 * values applies.
 *
 * @param aFaults receives the faults.
 * @return the document, or nothing when the text is not JSON.
 */
std::optional<nlohmann::json>
ParseJson(std::string_view aText, std::vector<JsonFault>& aFaults);

/** @return a short description of a value, for the `found` of a fault. */
std::string
Excerpt(const nlohmann::json& aValue);

} // namespace skylarkwing::core
