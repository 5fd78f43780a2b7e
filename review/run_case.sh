# Sourced by each case's run.sh: run_case NAME FOLDER [ARGUMENT]. TROUBLE=0 leaves the disruption out.
run_case()
{
  local name="$1" case_folder="$2"
  if [ ! -x "target/review/$name" ] || [ ! -x target/skylarkwing ]; then
    echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
    return 2
  fi
  local folder status=0
  folder="$(mktemp -d)"
  timeout -k 2 115 "target/review/$name" target/skylarkwing "$folder" \
    "$case_folder/record.txt" "${TROUBLE:-1}" "${@:3}" || status=$?
  rm -rf "$folder"
  [ "$status" -le 1 ] || status=2
  return "$status"
}
