import {ManualTimerService} from '@fescuewick/core';
import {
	createPlacerFixture, fixtureRequest, recordFixtureAnswer, PlacementFailure, type Backend,
} from '@fescuewick/gateway/testing';
import {cpuUsPerCall, fitSlope, type Section} from './measure.js';

const serverCounts = [172, 1900] as const;
const regions = ['north', 'south', 'east'] as const;
const slots = 5;
const objectCount = 252;
/** Requests of the VM that run at any time; two for each server of the smaller fleet, so that some objects find their first server full. */
const runningRequests = 344;
/** Time between two requests, in milliseconds. */
const intervalMs = 2;
const measuredMs = 1500;

/** Measures the choice of a server for a request: processor time of a decision and of what an answer records for later ones. */
export async function measurePlacement(): Promise<Section> {
	const rows = serverCounts.flatMap(count => [measureFleet(count, true), measureFleet(count, false)]);
	return {
		role: 'Placement',
		tables: [{
			title: 'Decisions of one VM, servers of one service in three regions; answers are recorded as they come',
			columns: ['servers', 'requests', 'decision and answer, CPU µs', 'decisions/s per core'],
			rows,
		}],
		slopes: [
			fitSlope('processor time of a decision with an affinity key', 'µs per server', rows.filter(([, kind]) => kind === 'by object').map(([count, , us]) => [count, us])),
			fitSlope('processor time of a decision without an affinity key', 'µs per server', rows.filter(([, kind]) => kind === 'any server').map(([count, , us]) => [count, us])),
		],
	};
}

function measureFleet(count: number, hasAffinity: boolean): [number, string, number, number] {
	const timers = new ManualTimerService();
	const placer = createPlacerFixture({
		timers, region: regions[0], servers: Array.from({length: count}, (_, index) => ({id: `server-${index}`, region: regions[index % regions.length], slots})),
	});
	const requests = hasAffinity ? Array.from({length: objectCount}, (_, index) => fixtureRequest(`figure-${index}`)) : [fixtureRequest(undefined)];
	const running: Backend[] = [];
	let next = 0;
	const decide = () => {
		timers.pause(intervalMs);
		const placement = placer.place(requests[next++ % requests.length]);
		if (typeof placement !== 'string') {
			placement.backend.inFlight++;
			running.push(placement.backend);
		}

		if (running.length > runningRequests || placement === PlacementFailure.full) {
			const backend = running.shift()!;
			recordFixtureAnswer(backend, {load: {running: Math.min(slots, backend.inFlight), waiting: 0}, latencyRatio: 1, nowMs: timers.nowMs()});
		}
	};

	for (let warmUp = 0; warmUp < 2 * objectCount; warmUp++) {
		decide();
	}

	const us = cpuUsPerCall(decide, measuredMs);
	return [count, hasAffinity ? 'by object' : 'any server', us, 1e6 / us];
}
