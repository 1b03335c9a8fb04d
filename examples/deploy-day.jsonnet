// Another bad minute: a rolling deploy that leaves engines cold, a hall that is lost and comes back cold, slowness of
// all, quick errors, discovery down while a router starts, routers rolled. Play it with
//   hoptiller day examples/deploy-day.jsonnet --report /tmp/deploy-day
local bad = import 'bad-day.jsonnet';
local engines = [0, 1, 2, 3, 4, 5, 6, 7];
local roll(n, at) = [
  { at: at + 's', do: { drain: n } },
  { at: (at + 3) + 's', do: { crash: n } },
  { at: (at + 3.5) + 's', do: { start: n } },
];
local each(list, at, act) = [{ at: at + 's', do: act(n) } for n in list];
local fault(faults) = function(n) { fault: { engine: n, faults: faults } };
// Engines 2 and 5 stand in hall-c.
local hall = [2, 5];

bad {
  acts:
    // Two engines at a time, all within 20 s.
    roll(0, 3) + roll(3, 3) + roll(1, 8) + roll(4, 8) + roll(2, 13) + roll(5, 13) + roll(6, 18) + roll(7, 18) +
    // The hall goes without notice, and returns with all its engines cold at once.
    each(hall, 25, function(n) { crash: n }) +
    each(hall, 31, function(n) { start: n }) +
    // Something that all depend on is slow.
    each(engines, 36, fault({ slow: 2.2 })) +
    each(engines, 42, fault({})) +
    // Quick errors at one engine; rents there may have been posted.
    each([1], 44, fault({ fail: true, only: 'lookup' })) +
    each([1], 49, fault({})) +
    [
      { at: '50s', do: { down: true } },
      { at: '50.5s', do: { kill: 2 } },
      { at: '51s', do: { route: 2 } },
      { at: '54s', do: { down: false } },
      { at: '55s', do: { end: 0 } },
      { at: '58s', do: { route: 0 } },
    ],
}
