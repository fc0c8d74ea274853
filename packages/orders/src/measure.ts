import process from 'node:process';
import {ClaimState} from '@fescuewick/wire';
import {ClaimMethod, type FleetModel} from './measure/fleet-model.js';
import {runLoad, type LoadResult} from './measure/load.js';
import {measureOwnerCpu} from './measure/owner-cpu.js';
import {measureMemory, measureTicketMemory} from './measure/memory.js';

const methods = [ClaimMethod.perOrder, ClaimMethod.ticket, ClaimMethod.journal];
const offeredRatesPerS = [50, 100, 200, 250, 300, 500, 1000, 2000, 4000, 8000];
const rateRunMs = 3000;
/** A rate counts as sustained if at least this fraction of its orders is granted. */
const minGrantedFraction = 0.999;
const faultRatePerS = 100;
const faultStartMs = 2000;
const faultEndMs = 8000;
const faultRunMs = 10_000;

type Fault = {readonly name: string; start(fleet: FleetModel): void; end(fleet: FleetModel): void};

const faults: Fault[] = [
	{
		name: 'death of a VM that owns a partition',
		start(fleet) {
			fleet.kill(fleet.nodes[0]);
		},
		end() {
			// A dead VM stays dead.
		},
	},
	{
		name: 'failure domain cut off (not the store\'s)', start(fleet) {
			fleet.cutOff('tigray-0');
		}, end(fleet) {
			fleet.heal();
		},
	},
	{
		name: 'failure domain cut off (in the store\'s region)', start(fleet) {
			fleet.cutOff('addis-0');
		}, end(fleet) {
			fleet.heal();
		},
	},
	{
		name: 'store outage',
		start(fleet) {
			fleet.store.faults.down = true;
		},
		end(fleet) {
			fleet.heal();
		},
	},
];

function print(...cells: Array<string | number>): void {
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
}

function heading(...cells: string[]): void {
	print(...cells);
	print(...cells.map(() => '---'));
}

function percentOfAttempts({states, attempts}: LoadResult, state: ClaimState): string {
	return `${((states.get(state) ?? 0) * 100 / attempts).toFixed(1)} %`;
}

function percentileMs({latencyUs}: LoadResult, percentile: number): string {
	return (latencyUs.getValueAtPercentile(percentile) / 1000).toFixed(1);
}

async function printRates(): Promise<void> {
	heading('way', 'offered orders/s', 'granted', 'p50 ms', 'p99 ms', 'store writes per order', 'CPU µs per order');
	const sustained = new Map<ClaimMethod, number>();
	for (const method of methods) {
		for (const ratePerS of offeredRatesPerS) {
			const result = await runLoad(method, {ratePerS, durationMs: rateRunMs});
			const granted = result.states.get(ClaimState.granted) ?? 0;
			if (granted >= minGrantedFraction * result.orders) {
				sustained.set(method, ratePerS);
			}

			const percent = `${(granted * 100 / result.orders).toFixed(1)} %`;
			print(method, ratePerS, percent, percentileMs(result, 50), percentileMs(result, 99), result.writesPerOrder.toFixed(3), result.cpuUsPerOrder.toFixed(0));
		}
	}

	process.stdout.write('\n');
	heading('way', 'highest offered rate of which 99.9 % was granted, orders/s');
	for (const method of methods) {
		print(method, sustained.get(method) ?? 0);
	}
}

async function printFaults(): Promise<void> {
	heading('fault', 'way', 'attempts granted', 'unavailable', 'unknown', 'in progress', 'done', 'orders granted twice', 'p99 ms');
	for (const fault of faults) {
		for (const method of methods) {
			const result = await runLoad(method, {
				ratePerS: faultRatePerS,
				durationMs: faultRunMs,
				beforeOrder(fleet, atMs) {
					if (atMs === faultStartMs) {
						fault.start(fleet);
					} else if (atMs === faultEndMs) {
						fault.end(fleet);
					}
				},
			});
			const percentages = [ClaimState.granted, ClaimState.unavailable, ClaimState.unknown, ClaimState.inProgress, ClaimState.done].map(state => percentOfAttempts(result, state));
			print(fault.name, method, ...percentages, result.duplicates, percentileMs(result, 99));
		}
	}
}

async function printMemory(): Promise<void> {
	const {orders, bytesPerOrder, storedBytesPerOrder, takeovers} = await measureMemory();
	const tickets = await measureTicketMemory();
	const ownerCpuUs = await measureOwnerCpu();
	heading('measure', 'value');
	print('orders remembered', orders);
	print('journal: bytes of memory per order', bytesPerOrder.toFixed(1));
	print('ticket: bytes of memory per order, exact / folded', `${tickets.exactBytesPerOrder.toFixed(1)} / ${tickets.filteredBytesPerOrder.toFixed(1)}`);
	print('journal: bytes in the store per order', storedBytesPerOrder.toFixed(1));
	print('journal: CPU of one owner per claim and completion at 2,000 orders/s, store included', `${ownerCpuUs.toFixed(0)} µs`);
	for (const {from, simulatedMs, cpuMs, reads} of takeovers) {
		print(`takeover of all partitions from ${from}`, `${simulatedMs.toFixed(0)} ms of store latency, ${cpuMs.toFixed(0)} ms CPU, ${reads} reads`);
	}
}

await printRates();
process.stdout.write('\n');
await printFaults();
process.stdout.write('\n');
await printMemory();
