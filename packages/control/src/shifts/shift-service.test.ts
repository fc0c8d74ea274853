import test from 'ava';
import {
	createSilentLogger, ManualTimerService, rendezvousOrder, ResultCode, type FescuewickError,
} from '@fescuewick/core';
import {FakePeerHub} from '@fescuewick/membership';
import {
	MessageType, type LoadEntry, type ShiftRequestBody, type VmRecord,
} from '@fescuewick/wire';
import {LoadReports} from './load-reports.js';
import {ShiftService} from './shift-service.js';

const service = 'booking';

function setUp() {
	const timers = new ManualTimerService();
	const hub = new FakePeerHub(timers);
	const nodes = new Map(['addis-1', 'oromia-1'].flatMap(domain => ['a', 'b'].map(name => {
		const vm = `${domain}-${name}`;
		const record: VmRecord = {
			vm, failureDomain: domain, region: domain.slice(0, -2), controlAddress: '', entryUrl: '', lookupUrl: '', adminUrl: '', leaving: false,
		};
		const peers = hub.add(record, {vm, startedAtMs: 0, nonce: 'n'});
		const loads = new LoadReports(peers, timers);
		loads.start();
		const shifts = new ShiftService({
			peers, timers, loads, logger: createSilentLogger(),
		});
		return [vm, {peers, loads, shifts}] as const;
	})));
	const report = (vm: string, loadPerS: number, overrides: Partial<LoadEntry> = {}) => {
		const {failureDomain, region} = nodes.get(vm)!.peers.self;
		nodes.get(vm)!.loads.addLocalReport([{
			service, failureDomain, region, capacityPerS: 500, loadPerS, cold: false, bytesPerRequest: 1000, ageMs: 0, ...overrides,
		}]);
	};

	const run = async (seconds: number, skipped?: string) => {
		for (let second = 0; second < seconds; second++) {
			for (const vm of nodes.keys()) {
				if (vm !== skipped) {
					report(vm, 250);
				}
			}

			await timers.advance(1000);
		}
	};

	return {
		timers, hub, nodes, report, run,
	};
}

const body: ShiftRequestBody = {
	service, fromDomain: 'addis-1', fromRegion: 'addis', toDomain: 'oromia-1', wantedPerS: 1000, reservePerS: 0, movedPerS: 0, movedFraction: 0, demandPerS: 0,
};

// Guards against loads that are not summed over VMs, or that lose their age when they are relayed between failure domains.
test('loads of VMs are summed, smoothed and relayed with their age', async t => {
	const {nodes, run, report, timers} = setUp();
	await run(3);
	const remoteLoad = nodes.get('addis-1-a')!.loads.entries().find(entry => entry.failureDomain === 'oromia-1')!;
	t.is(remoteLoad.loadPerS, 500);
	t.is(remoteLoad.capacityPerS, 1000);
	t.true(remoteLoad.ageMs > 0 && remoteLoad.ageMs < 5000);
	report('addis-1-a', 1250);
	await timers.advance(1000);
	const own = nodes.get('addis-1-a')!.loads.loadOfOwnDomain(service)!;
	t.true(own.loadPerS > 500 && own.loadPerS < 1500);
	await run(8, 'oromia-1-b');
	const loadWithoutB = nodes.get('addis-1-a')!.loads.entries().find(entry => entry.failureDomain === 'oromia-1')!;
	t.is(loadWithoutB.capacityPerS, 500);
	t.is(loadWithoutB.loadPerS, 500);
	t.true(loadWithoutB.ageMs > 5000);
	await timers.advance(20_000);
	t.true(nodes.get('addis-1-a')!.loads.entries().every(entry => entry.ageMs >= 20_000));
});

// Guards against two VMs of a failure domain that both grant its headroom, including after a failure of the grantor.
test('one VM of a failure domain grants, and its successor waits until earlier grants have expired', async t => {
	const {nodes, run, hub} = setUp();
	const order = rendezvousOrder(`shift/${service}/oromia-1`, ['oromia-1-a', 'oromia-1-b']);
	const requester = nodes.get('addis-1-a')!.shifts;
	const request = async () => {
		const [grant] = await Promise.all([requester.request(body), run(2)]);
		return grant.grantedPerS;
	};

	await run(3);
	t.is(await request(), 0);
	await run(20);
	t.is(Math.round(await request()), 300);
	t.is(requester.grants()[0].toRegion, 'oromia');
	const refusal = await t.throwsAsync(nodes.get(order[1])!.peers.request(order[1], MessageType.shiftRequest, body, 500), {any: true});
	t.is((refusal as FescuewickError).code, ResultCode.notReady);
	hub.kill(order[0]);
	await run(1, order[0]);
	t.is(await request(), 0);
	await run(20, order[0]);
	t.true(await request() > 0);
	await run(11);
	t.deepEqual(requester.grants(), []);
	for (const {loads, shifts} of nodes.values()) {
		loads.stop();
		shifts.stop();
	}
});
