// Forty changes, each contradicting the one before, and nothing that fails: how long a change takes. Play it with
//   hoptiller fleet run examples/fleet-calm.jsonnet --report /tmp/fleet-calm
local random = import 'fleet-random.jsonnet';
local tens = [0, 1, 2, 3, 4, 5, 6, 7];

random {
  permit: '10s',
  routers: 6,
  day+: {
    lasts: '36s',
    random_every: null,
    acts: [{ at: (1000 + t * 4000 + n * 800) + 'ms', do: { put: ['two', 'one', 'ordered', 'never', 'rested'][n] } } for t in tens for n in [0, 1, 2, 3, 4]],
  },
}
