import test from 'ava';
import {drawSchedule, FaultKind} from './schedule.js';

// Guards against a seed that gives other faults when it is run again, and against kinds that are never drawn.
test('a seed gives the same faults each time, and all kinds are drawn', t => {
	t.deepEqual(drawSchedule(7, 60_000), drawSchedule(7, 60_000));
	t.notDeepEqual(drawSchedule(7, 60_000), drawSchedule(8, 60_000));
	const kinds = new Set(Array.from({length: 20}, (_, seed) => drawSchedule(seed + 1, 60_000)).flat().map(({kind}) => kind));
	t.deepEqual([...kinds].sort(), Object.values(FaultKind).sort());
});

// Guards against runs with small seeds in which nothing happens, as with generators whose first draws are near 1.
test('each of the first seeds has faults, and some of them overlap', t => {
	for (let seed = 1; seed <= 20; seed++) {
		const faults = drawSchedule(seed, 60_000);
		t.true(faults.length > 20);
		t.true(faults.some(({atMs, durationMs}, index) => faults.slice(index + 1).some(next => next.atMs < atMs + durationMs)));
	}
});
