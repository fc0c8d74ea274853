import test from 'ava';
import {RegionalDemand, SlotDemandMeter} from './slot-demand-meter.js';

const intervalMs = 500;
const durationMs = 200;

/** Simulates callers of whose requests a fixed fraction is refused and who retry up to four times, one second apart; returns the measured demand relative to that of new requests. */
function simulateRefusals(refusedOfTen: number): number {
	const meter = new SlotDemandMeter();
	const newPerInterval = 50;
	const retries: number[][] = [];
	let sequence = 0;
	for (let interval = 0; interval < 40; interval++) {
		const attemptCounts = [...Array.from({length: newPerInterval}, () => 0), ...(retries[interval] ?? [])];
		for (const attempts of attemptCounts) {
			meter.recordArrival('stock', undefined);
			if (sequence++ % 10 < refusedOfTen) {
				meter.recordRefusal('stock', undefined);
				if (attempts < 4) {
					retries[interval + 2] = [...(retries[interval + 2] ?? []), attempts + 1];
				}
			}
		}

		meter.sample(intervalMs);
	}

	return meter.slots(() => durationMs).free.stock / (newPerInterval * (1000 / intervalMs) * durationMs / 1000);
}

test('retries of refused requests add little to the measured demand', t => {
	// Guards against a region that refuses requests and therefore measures several times its demand, of which others could take only a small fraction.
	t.is(simulateRefusals(0), 1);
	for (const refusedOfTen of [3, 5, 8]) {
		const ratio = simulateRefusals(refusedOfTen);
		t.true(ratio >= 0.9 && ratio <= 1.5, `${refusedOfTen} of 10 refused: ${ratio} times the demand`);
	}
});

test('demand bound to a region is measured separately from the unbound demand of its callers', t => {
	const meter = new SlotDemandMeter();
	meter.recordArrival('stock', undefined);
	meter.recordArrival('stock', 'south');
	meter.recordArrival('stock', 'south');
	meter.sample(1000);
	const {free, bound} = meter.slots(() => 1000);
	t.is(bound.south.stock, free.stock * 2);
	const demand = new RegionalDemand();
	demand.add('north', {free, bound});
	demand.add('south', {free, bound});
	t.is(demand.unboundSlots('south', 'stock'), free.stock);
	t.is(demand.boundSlots('south', 'stock'), free.stock * 4);
	t.is(demand.boundSlots('north', 'stock'), 0);
});
