// A bad minute: three routers, eight engines in three halls, a hundred clients. Play it with
//   hoptiller day examples/bad-day.jsonnet --report /tmp/bad-day
local derby = import 'derby.jsonnet';
local a(zone) = { kind: 'std-8a', zone: zone };
local b(zone) = { kind: 'std-8b', zone: zone };
local mix(class, part, text, patience) = { class: class, part: part, text: text, patience: patience };
local load_fault(engine, faults) = { fault: { engine: engine, faults: { only: 'rent-load' } + faults } };
local fine(engine) = { fault: { engine: engine, faults: {} } };

{
  lasts: '60s',
  routers: 3,
  settings: derby {
    router+: { of: 1 },
    // Loads of one agency keep their order.
    classes: [c + (if c.name == 'rent-load' then { in_order: true } else {}) for c in super.classes],
    engines+: { budget: { spare: 10, ratio: 0.2, within: '10s' } },
    rules+: { order_pause: '500ms' },
    limits: { abandon_after: '5s' },
  },
  engines: [a('hall-a'), a('hall-b'), a('hall-c'), b('hall-a'), a('hall-b'), b('hall-c'), a('hall-a'), b('hall-b')],
  clients: {
    count: 100,
    pause: '1.8s',
    again: 0.5,
    leave: 0.02,
    mix: [
      mix('lookup', 80, 'SELECT balance', '7.5s'),
      mix('report', 14, 'SELECT arrears', '25s'),
      mix('rent-load', 6, 'INSERT rent', '25s') { keys: 40 },
    ],
  },
  acts: [
    { at: '5s', do: { rush: 2.5 } },
    { at: '11s', do: { rush: 1 } },
    // Takes loads and never answers.
    { at: '12s', do: load_fault(2, { hang: true }) },
    { at: '18s', do: fine(2) },
    // Does the work and loses the answer.
    { at: '19s', do: { fault: { engine: 3, faults: { lose: true } } } },
    { at: '22s', do: fine(3) },
    { at: '24s', do: { kill: 0 } },
    { at: '26s', do: { route: 0 } },
    { at: '29s', do: { drain: 4 } },
    { at: '31s', do: { end: 1 } },
    { at: '36s', do: { crash: 4 } },
    { at: '38s', do: { start: 4 } },
    { at: '38.5s', do: { route: 1 } },
    { at: '41s', do: { crash: 5 } },
    { at: '43s', do: { start: 5 } },
    { at: '46s', do: { stale: true } },
    { at: '47s', do: { crash: 6 } },
    { at: '52s', do: { start: 6 } },
    { at: '54s', do: { stale: false } },
  ],
}
