// The first of three keepers on one machine; the others: (import 'keeper.jsonnet') { keeper: 2 }, and 3. A real one has
// a machine of its own. Try: hoptiller keep --config examples/keeper.jsonnet
{
  fleet: 'lettings',
  keeper: 1,
  keepers: { '1': '127.0.0.1:7401', '2': '127.0.0.1:7402', '3': '127.0.0.1:7403' },
  dir: 'state/keeper-' + self.keeper,
  // 32 hexadecimal digits or more, the same for the whole fleet: openssl rand -hex 32
  secret: 'state/fleet-secret',
  permit: '10s',
}
