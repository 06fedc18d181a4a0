# Processes of the Sundarban example. Names, ports and data centres must match examples/sundarban.
PORT_BASE=22000
SEED_KEY=demo-key-forest-range
DATA_CENTRES=(bengal-1 bengal-2 bengal-3)
MODELS=route-writer,route-answer
ENGINES=(
  "engine-1 22001 bengal-1 fast" "engine-2 22002 bengal-1 slow" "engine-3 22003 bengal-1 slow"
  "engine-4 22004 bengal-2 fast" "engine-5 22005 bengal-2 slow" "engine-6 22006 bengal-2 fast"
  "engine-7 22007 bengal-3 fast" "engine-8 22008 bengal-3 slow"
)
PLAIN_SERVICES=(
  "permits-1 22101 bengal-1" "permits-2 22102 bengal-2" "permits-3 22103 bengal-3"
)
OVERHEAD=(
  --service status-queries --model route-answer --engine 127.0.0.1:22001
  --plain-service permit-void --plain-endpoint 127.0.0.1:22101
)
