# Processes of the Fugeverk example. Names, ports and data centres must match examples/fugeverk.
PORT_BASE=21000
SEED_KEY=demo-key-nordfasade
DATA_CENTRES=(oslo-1 oslo-2 oslo-3)
MODELS=garanti-writer,garanti-answer
ENGINES=(
  "engine-1 21001 oslo-1 fast" "engine-2 21002 oslo-1 slow"
  "engine-3 21003 oslo-2 fast" "engine-4 21004 oslo-2 slow"
  "engine-5 21005 oslo-3 fast" "engine-6 21006 oslo-3 slow"
)
PLAIN_SERVICES=(
  "registration-1 21101 oslo-1" "registration-2 21102 oslo-2" "registration-3 21103 oslo-3"
)
OVERHEAD=(
  --service coverage-questions --model garanti-answer --engine 127.0.0.1:21001
  --plain-service warranty-registration --plain-endpoint 127.0.0.1:21101
)
