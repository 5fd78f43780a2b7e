#include "caller/caller_front.h"

#include <map>
#include <utility>

// GCC 12 reports a false positive about the frames of Asio's coroutines.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace skylarkwing::caller {

namespace {

constexpr std::string_view kEntryPointsPath = "/v1/entry-points";
constexpr std::string_view kQueryPath = "/v1/query/";

Refusal
MakeRefusal(RefusalKind aKind, std::string aReason)
{
  Refusal refusal;
  refusal.kind = aKind;
  refusal.reason = std::move(aReason);
  return refusal;
}

} // namespace

struct CallerFront::State
{
  State(core::TimerService& aTimers,
        core::RandomSource& aRandom,
        core::Metrics& aMetrics,
        CallerHooks aHooks,
        CallerSettings aSettings);

  net::HttpResponse EntryPoints(const net::HttpRequest& aRequest);
  core::Task<net::HttpResponse> Query(net::HttpRequest aRequest);
  core::Task<net::HttpResponse> RunQuery(CallerQuery aQuery, core::TimePoint aDeadline);
  net::HttpResponse Refuse(const Refusal& aRefusal);

  core::TimerService& timers;
  core::RandomSource& random;
  CallerHooks hooks;
  CallerSettings settings;
  std::map<RefusalKind, prometheus::Counter*> refusals;
  prometheus::Counter& answers;
  std::size_t running = 0;
};

CallerFront::State::State(core::TimerService& aTimers,
                          core::RandomSource& aRandom,
                          core::Metrics& aMetrics,
                          CallerHooks aHooks,
                          CallerSettings aSettings)
  : timers(aTimers)
  , random(aRandom)
  , hooks(std::move(aHooks))
  , settings(std::move(aSettings))
  , answers(aMetrics.Counter("skylarkwing_caller_answers_total", "Queries answered to callers."))
{
  for (std::size_t n = 0; n < RefusalKindCount(); ++n) {
    const auto kind = static_cast<RefusalKind>(n);
    refusals[kind] = &aMetrics.Counter("skylarkwing_caller_refusals_total",
                                       "Requests of callers refused, by kind.",
                                       { { "kind", std::string(NameOf(kind)) } });
  }
}

net::HttpResponse
CallerFront::State::EntryPoints(const net::HttpRequest& aRequest)
{
  if (aRequest.method != "GET") {
    return Refuse(MakeRefusal(RefusalKind::NotFound, "only GET is served here"));
  }
  return RenderEntryPoints(hooks.entryPoints(aRequest.QueryValue("failure-domain")));
}

core::Task<net::HttpResponse>
CallerFront::State::Query(net::HttpRequest aRequest)
{
  const core::TimePoint arrival = timers.Now();
  if (aRequest.method != "POST") {
    co_return Refuse(MakeRefusal(RefusalKind::NotFound, "only POST is served here"));
  }
  const auto configuration = hooks.configuration();
  if (!configuration) {
    co_return Refuse(MakeRefusal(RefusalKind::NotReady, "no configuration is in force yet"));
  }
  ParsedQuery parsed = ParseQuery(aRequest, configuration);
  if (!parsed.query) {
    co_return Refuse(parsed.refusal);
  }
  const core::TimePoint deadline = arrival + parsed.query->patience - settings.answerReserve;
  net::HttpResponse response = co_await RunQuery(std::move(*parsed.query), deadline);
  co_return response;
}

core::Task<net::HttpResponse>
CallerFront::State::RunQuery(CallerQuery aQuery, core::TimePoint aDeadline)
{
  if (!hooks.mayTakeNewWork()) {
    co_return Refuse(MakeRefusal(RefusalKind::NotReady, "the daemon takes no new work"));
  }
  query::QueryRequest request;
  request.index = aQuery.index;
  request.profile = aQuery.profile;
  request.search = std::move(aQuery.search);
  request.size = aQuery.size;
  request.deadline = aDeadline;
  ++running;
  const query::QueryResult result = co_await hooks.runQuery(std::move(request));
  --running;
  if (result.status == query::QueryStatus::Refused) {
    co_return Refuse(RefusalOf(result));
  }
  answers.Increment();
  co_return RenderAnswer(result);
}

net::HttpResponse
CallerFront::State::Refuse(const Refusal& aRefusal)
{
  refusals.at(aRefusal.kind)->Increment();
  return RenderRefusal(aRefusal);
}

CallerFront::CallerFront(core::TimerService& aTimers,
                         core::RandomSource& aRandom,
                         core::Metrics& aMetrics,
                         CallerHooks aHooks,
                         CallerSettings aSettings)
  : mState(
      std::make_shared<State>(aTimers, aRandom, aMetrics, std::move(aHooks), std::move(aSettings)))
{
}

CallerFront::~CallerFront() = default;

core::Task<net::HttpResponse>
CallerFront::Handle(net::HttpRequest aRequest)
{
  const auto state = mState;
  const std::string path = aRequest.Path();
  if (path == kEntryPointsPath) {
    co_return state->EntryPoints(aRequest);
  }
  if (path.starts_with(kQueryPath)) {
    net::HttpResponse response = co_await state->Query(std::move(aRequest));
    co_return response;
  }
  co_return state->Refuse(MakeRefusal(RefusalKind::NotFound, "no such path"));
}

void
CallerFront::ListenOn(net::PeerBus&)
{
}

std::size_t
CallerFront::Running() const
{
  return mState->running;
}

} // namespace skylarkwing::caller
