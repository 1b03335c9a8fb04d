// Faults and changes drawn from a seed, one after the other: links cut one way and both, slow and reset; keepers and routers
// killed, stopped, started again. Play it with
//   hoptiller fleet run examples/fleet-random.jsonnet --seed 7 --report /tmp/fleet-random-7
local day = import 'fleet-versions.jsonnet';
local document = import 'fleet-document.jsonnet';
// Any two contradict each other, and none leaves a class without a place.
local both = document { classes+: { report+: { kinds: ['std-8a', 'std-8b'] } } };

day {
  permit: '2s',
  routers: 4,
  day+: {
    lasts: '30s',
    clients+: { count: 30, pause: '150ms' },
    acts: [],
    random_every: '2s',
    documents: {
      first: both,
      two: both { engines+: { max_attempts: 2 } },
      one: both { engines+: { max_attempts: 1 } },
      ordered: both { classes+: { lookup+: { in_order: true } } },
      never: both { classes+: { report+: { repeat: 'never' } } },
      rested: both { rules+: { order_pause: '200ms' } },
    },
  },
}
