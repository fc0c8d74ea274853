import test from 'ava';
import {RegionalWork, WorkMeter} from './work-meter.js';

const intervalMs = 500;
const durationMs = 200;

/** Plays callers whose requests are refused with a probability and who come back up to four times, a second later each time. */
function playRefusals(refusedOfTen: number): number {
	const meter = new WorkMeter();
	const freshPerInterval = 50;
	const returning: number[][] = [];
	let sequence = 0;
	for (let interval = 0; interval < 40; interval++) {
		const tries = [...Array.from({length: freshPerInterval}, () => 0), ...(returning[interval] ?? [])];
		for (const tried of tries) {
			meter.arrived('stock', undefined);
			if (sequence++ % 10 < refusedOfTen) {
				meter.refused('stock', undefined);
				if (tried < 4) {
					returning[interval + 2] = [...(returning[interval + 2] ?? []), tried + 1];
				}
			}
		}

		meter.sample(intervalMs);
	}

	return meter.slots(() => durationMs).free.stock / (freshPerInterval * (1000 / intervalMs) * durationMs / 1000);
}

test('refused requests that come back hardly add to the work that is measured', t => {
	// Guards against a region that refuses and so seems to need several times its work, of which others could take only a small part.
	t.is(playRefusals(0), 1);
	for (const refusedOfTen of [3, 5, 8]) {
		const ratio = playRefusals(refusedOfTen);
		t.true(ratio >= 0.9 && ratio <= 1.5, `${refusedOfTen} of 10 refused: ${ratio} times the work`);
	}
});

test('work that is bound to a region is told apart from that of its callers', t => {
	const meter = new WorkMeter();
	meter.arrived('stock', undefined);
	meter.arrived('stock', 'south');
	meter.arrived('stock', 'south');
	meter.sample(1000);
	const {free, bound} = meter.slots(() => 1000);
	t.is(bound.south.stock, free.stock * 2);
	const work = new RegionalWork();
	work.add('north', {free, bound});
	work.add('south', {free, bound});
	t.is(work.freeOf('south', 'stock'), free.stock);
	t.is(work.boundTo('south', 'stock'), free.stock * 4);
	t.is(work.boundTo('north', 'stock'), 0);
});
