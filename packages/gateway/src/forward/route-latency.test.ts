import test from 'ava';
import {RouteLatency} from './route-latency.js';

test('the typical duration excludes queueing, the expected duration is the mean', t => {
	// Guards against demand that is overestimated several times while requests queue at servers, which makes all regions look full.
	const latency = new RouteLatency();
	for (let request = 0; request < 500; request++) {
		latency.add({
			route: 'check', service: 'stock', durationMs: request % 2 === 0 ? 150 : 1200, initialMs: 500,
		});
	}

	t.true(latency.typicalMs('stock', 500) < 250);
	t.true(latency.expectedMs('check', 500) > 500);
});

test('the typical duration converges after a lasting change', t => {
	const latency = new RouteLatency();
	for (const durationMs of [150, 600]) {
		for (let request = 0; request < 100; request++) {
			latency.add({
				route: 'check', service: 'stock', durationMs, initialMs: 500,
			});
		}
	}

	t.true(latency.typicalMs('stock', 500) > 400);
	t.is(latency.typicalMs('other', 500), 500);
});
