// Three keepers, six routers, eight engines; three changes of settings, a drain and a rollback, and links and processes
// that fail meanwhile. Play it with
//   hoptiller fleet run examples/fleet-versions.jsonnet --seed 1 --report /tmp/fleet-versions
local derby = import 'derby.jsonnet';
local first = import 'fleet-document.jsonnet';
local a(zone) = { kind: 'std-8a', zone: zone, speed: 4 };
local b(zone) = { kind: 'std-8b', zone: zone, speed: 4 };
local mix(class, part, text, patience) = { class: class, part: part, text: text, patience: patience };
local class(document, name, change) = document { classes+: { [name]+: change } };
local other_kind = class(first, 'report', { kinds: ['std-8b'] });

{
  keepers: 3,
  routers: 6,
  permit: '4s',
  settings: {
    kinds: derby.kinds,
    zones: derby.zones,
    tenants: derby.tenants,
    classes: derby.classes,
    default_class: derby.default_class,
    engines: derby.engines,
    rules: derby.rules,
    discovery: derby.discovery,
  },
  engines: [a('hall-a'), a('hall-b'), a('hall-c'), b('hall-a'), a('hall-b'), b('hall-c'), a('hall-a'), b('hall-b')],
  day: {
    lasts: '30s',
    clients: {
      count: 60,
      pause: '300ms',
      mix: [
        mix('lookup', 80, 'SELECT balance', '7.5s'),
        mix('report', 14, 'SELECT arrears', '25s'),
        mix('rent-load', 6, 'INSERT rent', '25s'),
      ],
    },
    documents: {
      first: first,
      // Reports may go to both kinds, then to the other one only, then back.
      both_kinds: class(first, 'report', { kinds: ['std-8a', 'std-8b'] }),
      other_kind: other_kind,
      fewer_attempts: first { engines+: { max_attempts: 2 } },
      // Nothing more to hall-b.
      drained: other_kind {
        classes: { [c.name]: other_kind.classes[c.name] { zones: ['hall-a', 'hall-c'] } for c in derby.classes },
      },
    },
    acts: [
      { at: '2s', do: { put: 'both_kinds' } },
      { at: '4s', do: { alone: 0 } },
      { at: '5s', do: { put: 'other_kind' } },
      { at: '12s', do: 'heal' },
      { at: '13s', do: { kill_keeper: 0 } },
      { at: '14s', do: { put: 'drained' } },
      { at: '16s', do: { stop_router: 2 } },
      { at: '17s', do: { put: 'both_kinds' } },
      { at: '23s', do: { go_on: 2 } },
      { at: '24s', do: { start_keeper: 0 } },
      // The rollback.
      { at: '26s', do: { put: 'first' } },
    ],
  },
}
