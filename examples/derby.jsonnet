// Settings of one router: eight engines in three halls, three classes. Try: hoptiller check examples/derby.jsonnet
local safe(name, aim, patience) = { name: name, aim: aim, patience: patience, repeat: 'safe' };

{
  router: { name: 'r1', index: 0, of: 1, listen: '127.0.0.1:8080', state: 'state/r1' },
  // Administrators' own address, for `hoptiller runaways`: router+: { admin: '127.0.0.1:8082' }.

  // Machine kinds and their cores; zones.
  kinds: { 'std-8a': 8, 'std-8b': 8 },
  zones: ['hall-a', 'hall-b', 'hall-c'],
  tenants: { 'brindley-homes': 0.77, 'kestrel-lets': 0.23 },

  classes: [
    safe('lookup', '1.5s', '7.5s') { stretch: 1.5, worth: 1, late_worth: 0.1, threads: 1 },
    safe('report', '2s', '25s') { stretch: 2.5, worth: 6, late_worth: 0.3, threads: 2, kinds: ['std-8a'] },
    {
      name: 'rent-load',
      aim: '3s',
      stretch: 3,
      patience: '25s',
      repeat: 'never',
      worth: 4,
      late_worth: 0.6,
      threads: 2,
      holds: true,
    },
  ],
  default_class: 'lookup',

  engines: { max_attempts: 3, probes: true, reports: true, bills: true, cancel: false },
  rules: { start_capacity: 0.3, ramp: '14s', overload: 3, fall: '2s', drain_grace: '1s' },
  discovery: { address: '127.0.0.1:8081', environment: 'lettings', every: '500ms', state_every: '250ms' },
}
