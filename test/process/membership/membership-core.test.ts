import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  probeHeadBytes,
  updateBytes,
  zoneAgeBytes,
  type PeerIdentity,
} from '../../../src/process/membership/messages.js';
import {bounds, timing} from '../../../src/process/membership/timing.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {MembershipNetwork} from '../../../stand-ins/membership-network.js';
import {seededRandom, type Fleet, startFleet} from './fleet.js';

function stateOf({network}: Fleet, observer: string, id: string) {
  const members = network.host(observer).core.members();
  return members.find(member => member.id === id)?.state;
}

function otherHosts({network}: Fleet, zone: string, except: string) {
  return [...network.hosts.values()]
    .filter(h => h.identity.zone === zone && h.identity.id !== except)
    .map(h => h.identity.id);
}

test('all hosts discover each other from one seed (guards against joins that do not spread)', () => {
  const fleet = startFleet({zones: 3, perZone: 3, seed: 1});
  for (const host of fleet.network.hosts.values()) {
    const live = host.core.members().filter(m => m.state === 'alive');
    assert.equal(live.length, 8, host.identity.id);
  }
});

test('a host without seeds joins through the host list', () => {
  const fleet = startFleet({zones: 2, perZone: 2, seed: 2});
  const self = {id: 'z0-h9', zone: 'z0', region: 'near', address: '10.0.0.9:1'};
  const {core} = fleet.network.start(self, []);
  fleet.network.run(5000);
  assert.equal(core.members().length, 0);
  const listed = {id: 'z1-h0', zone: 'z1', address: '10.0.1.0:1'};
  core.setListed([{...listed, state: 'live'}]);
  fleet.network.run(5000);
  assert.equal(core.members().filter(m => m.state === 'alive').length, 4);
});

test('a crash is confirmed in the zone within 2 s (guards against a late failover)', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const fleet = startFleet({zones: 2, perZone: 5, seed});
    fleet.network.run(seed * 17);
    fleet.network.crash('z0-h1');
    fleet.network.run(2000);
    for (const id of otherHosts(fleet, 'z0', 'z0-h1')) {
      assert.equal(stateOf(fleet, id, 'z0-h1'), 'dead', `${id}, seed ${seed}`);
    }
  }
});

test('no host is declared dead when a host pauses for 1 s (guards against ownership moves)', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const fleet = startFleet({zones: 2, perZone: 4, seed});
    const {network} = fleet;
    network.run(seed * 19);
    const startMs = fleet.clock.nowMs();
    network.pause('z0-h1');
    network.run(1000);
    network.resume('z0-h1');
    network.run(2000);
    for (const host of network.hosts.values()) {
      const deaths = host.effects.filter(
        ({atMs, effect}) =>
          atMs > startMs &&
          effect.kind === 'changed' &&
          effect.member.state === 'dead',
      );
      assert.deepEqual(deaths, [], `${host.identity.id}, seed ${seed}`);
    }
  }
});

test('after a long pause a host first releases what it holds and rejoins with a higher incarnation', () => {
  const fleet = startFleet({zones: 2, perZone: 4, seed: 3});
  const {network, clock} = fleet;
  const host = network.host('z0-h1');
  const before = host.core.self.incarnation;
  network.pause('z0-h1');
  network.run(5000);
  assert.equal(stateOf(fleet, 'z0-h0', 'z0-h1'), 'dead');
  host.effects.length = 0;
  network.resume('z0-h1');
  assert.equal(host.effects[0]?.effect.kind, 'selfPaused');
  assert.equal(host.effects[0]?.atMs, clock.nowMs());
  network.run(1000);
  assert.ok(host.core.self.incarnation > before);
  assert.equal(stateOf(fleet, 'z0-h0', 'z0-h1'), 'alive');
  assert.equal(stateOf(fleet, 'z1-h0', 'z0-h1'), 'alive');
  // The host itself was paused, so it must not suspect members whose acks it missed.
  assert.equal(stateOf(fleet, 'z0-h1', 'z0-h0'), 'alive');
});

test('partitioned zones become unknown, declare no local host dead, and rejoin', () => {
  const fleet = startFleet({zones: 3, perZone: 3, seed: 4});
  const {network} = fleet;
  network.isCut = (a, b) => (a.zone === 'z0') !== (b.zone === 'z0');
  network.run(10_000);
  const {core} = network.host('z0-h0');
  assert.equal(core.zoneView('z1').state, 'unknown');
  assert.equal(core.zoneView('z0').state, 'heard');
  assert.equal(stateOf(fleet, 'z0-h0', 'z1-h0'), 'dead');
  assert.equal(stateOf(fleet, 'z1-h1', 'z0-h0'), 'dead');
  assert.equal(stateOf(fleet, 'z0-h0', 'z0-h1'), 'alive');
  assert.equal(stateOf(fleet, 'z1-h0', 'z2-h1'), 'alive');
  network.crash('z1-h2');
  network.run(600_000);
  network.isCut = () => false;
  network.run(10_000);
  assert.equal(stateOf(fleet, 'z0-h0', 'z1-h0'), 'alive');
  assert.equal(stateOf(fleet, 'z1-h1', 'z0-h0'), 'alive');
  assert.equal(stateOf(fleet, 'z0-h0', 'z1-h2'), 'dead');
  assert.equal(core.zoneView('z1').live, 2);
  for (const host of network.hosts.values()) {
    const localDeaths = host.effects.filter(
      ({effect}) =>
        effect.kind === 'changed' &&
        effect.member.state === 'dead' &&
        effect.member.zone === host.identity.zone &&
        effect.member.id !== 'z1-h2',
    );
    assert.deepEqual(localDeaths, [], host.identity.id);
  }
});

test('a third zone relays gossip between two partitioned zones (guards against a false unknown)', () => {
  const fleet = startFleet({zones: 3, perZone: 3, seed: 5});
  fleet.network.isCut = (a, b) =>
    [a.zone, b.zone].sort().join() === ['z0', 'z1'].join();
  fleet.network.run(15_000);
  const {core} = fleet.network.host('z0-h0');
  assert.equal(core.zoneView('z1').state, 'heard');
});

test('hosts rejoin after a partition inside a zone (guards against permanent tombstones)', () => {
  const fleet = startFleet({zones: 2, perZone: 4, seed: 6});
  const isFirstHalf = (id: string) => id === 'z0-h0' || id === 'z0-h1';
  fleet.network.isCut = (a, b) => isFirstHalf(a.id) !== isFirstHalf(b.id);
  fleet.network.run(8000);
  assert.equal(stateOf(fleet, 'z0-h0', 'z0-h2'), 'dead');
  fleet.network.isCut = () => false;
  fleet.network.run(15_000);
  for (const id of otherHosts(fleet, 'z0', 'z0-h2')) {
    assert.equal(stateOf(fleet, id, 'z0-h2'), 'alive', id);
  }
});

test('a leave is known to all hosts within 500 ms (guards against waiting for the failure detector)', () => {
  const fleet = startFleet({zones: 2, perZone: 4, seed: 7});
  const {network, clock} = fleet;
  const host = network.host('z0-h1');
  network.perform(host, host.core.leave(clock.nowMs()));
  network.crash('z0-h1');
  network.run(500);
  for (const id of network.hosts.keys()) {
    if (id !== 'z0-h1') assert.equal(stateOf(fleet, id, 'z0-h1'), 'left', id);
  }
});

test('late updates do not revive a dead host (guards against a dead host that owns groups)', () => {
  const fleet = startFleet({zones: 1, perZone: 4, seed: 8});
  const {network, clock} = fleet;
  const crashed = network.host('z0-h1').core.self;
  network.crash('z0-h1');
  network.run(3000);
  const {core, identity} = network.host('z0-h0');
  const late = {
    id: crashed.id,
    zone: crashed.zone,
    region: crashed.region,
    address: crashed.peerAddress,
    incarnation: crashed.incarnation,
    state: 'alive' as const,
    version: 99,
    configOffset: 5,
    summary: new Uint8Array(0),
  };
  const probe = {
    sequence: 0,
    incarnation: network.host('z0-h2').core.self.incarnation,
    version: 1,
    configOffset: 0,
    summary: new Uint8Array(0),
    updates: [late],
    zones: [],
    offsets: [],
    sync: false,
    reached: '',
  };
  const from = network.host('z0-h2').identity;
  core.receive(from, {ping: probe}, clock.nowMs());
  assert.equal(stateOf(fleet, identity.id, 'z0-h1'), 'dead');
  network.run(timing.tombstoneRetentionMs / 100);
  core.receive(from, {ping: probe}, clock.nowMs());
  assert.equal(stateOf(fleet, identity.id, 'z0-h1'), 'dead');
});

test('no probe exceeds the size limit, even when many members change at once', () => {
  const clock = new ManualClock();
  let probes = 0;
  const network = new MembershipNetwork(clock, {
    random: seededRandom(9),
    keepEffects: false,
    onSend(_, message) {
      const probe = message.ping ?? message.ack;
      if (!probe) return;
      probes++;
      const bytes =
        probeHeadBytes(probe) +
        probe.updates.reduce((sum, u) => sum + updateBytes(u), 0) +
        probe.zones.reduce((sum, z) => sum + zoneAgeBytes(z), 0);
      assert.ok(bytes <= bounds.messageBytes, `${bytes} bytes`);
    },
  });
  const ids: PeerIdentity[] = [];
  for (let i = 0; i < 60; i++) {
    const zone = `a-zone-with-a-long-name-${i % 4}`;
    const address = `10.200.100.${i}:12345`;
    ids.push({id: `host-with-a-long-name-${i}`, zone, region: 'r', address});
  }
  for (const id of ids) {
    const host = network.start(id, [ids[0].address]);
    host.core.publish({summary: new Uint8Array(100)});
  }
  network.run(5000);
  for (const id of ids.slice(30, 45)) network.crash(id.id);
  network.run(3000);
  assert.ok(probes > 1000);
  const {core} = network.host(ids[0].id);
  assert.equal(core.members().filter(m => m.state === 'dead').length, 15);
});

test('the number of links does not grow with the fleet, and a link reaches the other region', () => {
  const fleet = startFleet({zones: 4, perZone: 20, seed: 10});
  for (const host of fleet.network.hosts.values()) {
    const last = host.effects.filter(e => e.effect.kind === 'links').pop();
    assert.ok(last?.effect.kind === 'links');
    const {ids} = last.effect;
    assert.ok(
      ids.length <= bounds.ringSuccessors + bounds.chords + bounds.crossLinks,
    );
    const regions = ids.map(id => fleet.network.host(id).identity.region);
    assert.ok(regions.some(region => region !== host.identity.region));
  }
});

test('a zone view has the minimum offset of the live members (guards against a false status)', () => {
  const fleet = startFleet({zones: 2, perZone: 3, seed: 11});
  const {network} = fleet;
  for (const host of network.hosts.values()) {
    host.core.publish({configOffset: host.identity.id === 'z1-h2' ? 7 : 9});
  }
  network.run(10_000);
  const {core} = network.host('z0-h0');
  assert.equal(core.zoneView('z1').configOffset, 7);
  network.crash('z1-h2');
  network.run(3000);
  assert.equal(core.zoneView('z1').configOffset, 9);
  assert.equal(core.zoneView('z9').state, 'unknown');
});

test('an offset whose update was lost is requested and known within 4 s, and never reported early', () => {
  for (let seed = 1; seed <= 3; seed++) {
    const {network, clock} = startFleet({
      zones: 1,
      perZone: 45,
      seed,
      loss: 0.02,
    });
    const hosts = [...network.hosts.values()];
    for (let round = 1; round <= 3; round++) {
      const last = hosts[(seed * 7 + round) % hosts.length];
      const advance = ({core}: (typeof hosts)[0]) =>
        core.publish({configOffset: round});
      for (const host of hosts) if (host !== last) advance(host);
      network.run(4000);
      for (const {core} of hosts) {
        const view = core.zoneView('z0');
        assert.equal(view.configOffset, round - 1, 'ahead of the last host');
      }
      advance(last);
      network.run(4000);
      for (const {core, identity} of hosts) {
        const {configOffset} = core.zoneView('z0');
        const where = `${identity.id}, seed ${seed}, ${clock.nowMs()} ms`;
        assert.equal(configOffset, round, where);
      }
    }
  }
});
