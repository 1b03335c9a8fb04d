// Five routers of which one reads discovery and some ask engines how they are, for all; with the faults and changes of
// fleet-random.jsonnet. Engines and discovery record who asked under which lease. Play it with
//   hoptiller fleet run examples/fleet-leases.jsonnet --seed 7 --report /tmp/fleet-leases-7
local day = import 'fleet-random.jsonnet';
local names = ['first', 'two', 'one', 'ordered', 'never', 'rested'];
local tasks = { tasks: { list: 1, probe: 6 } };

day {
  routers: 5,
  settings+: { discovery+: { every: '200ms', state_every: '200ms' } },
  // A part may be done by nobody for so long: two terms, and the time for which keepers are away.
  unheld: '12s',
  day+: {
    documents: { [name]: day.day.documents[name] + tasks for name in names },
  },
}
