// A bad day of sixteen seconds, for CI: the same troubles as bad-day.jsonnet, with engines four times as fast and
// clients of less patience.
local bad = import 'bad-day.jsonnet';
local faster(engine) = engine { speed: 4 };
local patience = { lookup: '4s', report: '7s', 'rent-load': '6s' };
local aim = { lookup: '1s', report: '1.5s', 'rent-load': '2s' };
local load_fault(engine, faults) = { fault: { engine: engine, faults: { only: 'rent-load' } + faults } };
local fine(engine) = { fault: { engine: engine, faults: {} } };

bad {
  lasts: '16s',
  settings+: {
    classes: [c { patience: patience[c.name], aim: aim[c.name] } for c in super.classes],
    rules+: { ramp: '4s' },
    limits: { abandon_after: '3s' },
  },
  engines: [faster(e) for e in super.engines],
  clients+: { count: 60, pause: '600ms', mix: [m { patience: patience[m.class] } for m in super.mix] },
  acts: [
    { at: '1s', do: { rush: 2.5 } },
    { at: '2.5s', do: { rush: 1 } },
    { at: '2.5s', do: load_fault(2, { hang: true }) },
    { at: '4.5s', do: fine(2) },
    { at: '4.5s', do: { fault: { engine: 3, faults: { lose: true } } } },
    { at: '5.5s', do: fine(3) },
    { at: '6s', do: { kill: 0 } },
    { at: '7s', do: { route: 0 } },
    { at: '7.5s', do: { drain: 4 } },
    { at: '8s', do: { end: 1 } },
    { at: '10s', do: { crash: 4 } },
    { at: '10.5s', do: { start: 4 } },
    { at: '11s', do: { route: 1 } },
    { at: '11.5s', do: { crash: 5 } },
    { at: '12s', do: { start: 5 } },
    { at: '12.5s', do: { stale: true } },
    { at: '12.7s', do: { crash: 6 } },
    { at: '14s', do: { start: 6 } },
    { at: '15s', do: { stale: false } },
  ],
}
