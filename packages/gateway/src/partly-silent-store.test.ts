import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {SystemTimerService} from '@fescuewick/core';
import {Collection} from '@fescuewick/store';
import {configuration} from './testing/fixtures.js';
import {waitUntil} from './testing/gateway-steps.js';
import {RestrictedStore, StoreTreatment} from './testing/restricted-store.js';
import {startGateway, storeWith, type StartedGateway} from './testing/start-gateway.js';

/** Time from its acknowledgement by which a change must be in force at a VM that reaches the store, in milliseconds. */
const inForceMs = 2500;

/** Starts VMs of two failure domains of a region and waits until three of them read the store; each can be treated differently by the store. */
async function startFleet(t: ExecutionContext, names: readonly string[]) {
	const shared = storeWith(configuration(1));
	const stores = new Map(names.map(vm => [vm, new RestrictedStore(shared, new SystemTimerService())]));
	const gateways = new Map<string, StartedGateway>();
	let seeds: string[] = [];
	for (const [index, vm] of names.entries()) {
		const gateway = await startGateway({
			store: stores.get(vm)!, vm, failureDomain: `north-${1 + (index % 2)}`, seeds,
		});
		gateways.set(vm, gateway);
		seeds = [gateways.get(names[0])!.settings.listen.peers];
	}

	t.teardown(async () => Promise.all([...gateways.values()].map(async ({gateway}) => gateway.stop())));
	const isReading = ({lines}: StartedGateway) => lines.findLast(({event}) => event === 'store-reading')?.isReading !== false;
	await waitUntil(() => [...gateways.values()].filter(gateway => isReading(gateway)).length === 3);
	const idle = [...gateways].filter(([, gateway]) => !isReading(gateway)).map(([vm]) => vm);
	return {
		shared, stores, gateways, idle,
	};
}

for (const treatment of [StoreTreatment.silent, StoreTreatment.refused]) {
	for (const changedAfterMs of [0, 500, 3000]) {
		test(`a VM that the store serves applies a change in time while all readers of its region are ${treatment}, ${changedAfterMs} ms after they became so`, async t => {
			// Guards against a VM that takes its state for current as long as the waits of the VMs it relies on have not ended.
			const {shared, stores, gateways, idle: [served]} = await startFleet(t, ['a1', 'a2', 'a3', 'a4']);
			await sleep(1000);
			for (const [vm, store] of stores) {
				store.treatment = vm === served ? StoreTreatment.served : treatment;
			}

			await sleep(changedAfterMs);
			shared.set(Collection.configurations, 'main', configuration(2));
			shared.set(Collection.evacuations, 'north-1', {});
			await sleep(inForceMs);
			const {lines} = gateways.get(served)!;
			t.true(lines.some(({event, version}) => event === 'configuration' && version === 2), 'the configuration is in force');
			t.true(lines.some(({event, isEvacuated}) => event === 'evacuation' && isEvacuated === true), 'the evacuation is in force');
		});
	}
}
