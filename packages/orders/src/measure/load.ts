import process from 'node:process';
import {build, type Histogram} from 'hdr-histogram-js';
import {settle} from '@fescuewick/core';
import {ClaimState, OrderResult} from '@fescuewick/wire';
import {FleetModel, type ClaimMethod} from './fleet-model.js';

/** Load of first attempts at a constant rate. */
export type LoadOptions = {
	readonly ratePerS: number;
	readonly durationMs: number;
	/** Called before each order with the time in milliseconds since the start of the load. */
	readonly beforeOrder?: (fleet: FleetModel, atMs: number) => void;
};

/** Results of a load run. */
export type LoadResult = {
	/** Number of orders; `attempts` also counts the duplicate attempts. */
	readonly orders: number;
	readonly attempts: number;
	readonly states: ReadonlyMap<ClaimState, number>;
	/** Number of orders of which two attempts were granted. */
	readonly duplicates: number;
	/** Added latency of granted claims, in microseconds. */
	readonly latencyUs: Histogram;
	readonly writesPerOrder: number;
	readonly cpuUsPerOrder: number;
};

const workspace = 'w';
const orderExecutionMs = 20;
const drainMs = 6000;
const warmUpMs = 1000;
const answer = {status: 201, headers: {'content-type': 'application/json'}, body: new Uint8Array(200)};

/** Runs a load in simulated time; every tenth order is attempted through a second VM at the same time. */
export async function runLoad(method: ClaimMethod, {ratePerS, durationMs, beforeOrder}: LoadOptions): Promise<LoadResult> {
	const fleet = new FleetModel(method);
	const states = new Map<ClaimState, number>();
	const latencyUs = build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	let duplicates = 0;
	const attempt = async (index: number, nodeIndex: number, orderKey: string): Promise<boolean> => {
		const {service} = fleet.nodes[nodeIndex];
		const startedMs = fleet.timers.nowMs();
		const claimant = `${index}-${nodeIndex}`;
		const {state} = await service.claim({
			workspace, orderKey, claimant, contentHash: 1, repeatWindowMs: 86_400_000,
		});
		states.set(state, (states.get(state) ?? 0) + 1);
		if (state !== ClaimState.granted) {
			return false;
		}

		latencyUs.recordValue(Math.round((fleet.timers.nowMs() - startedMs) * 1000));
		await fleet.timers.sleep(orderExecutionMs);
		void service.complete({
			workspace, orderKey, claimant, result: OrderResult.done, answer,
		});
		return true;
	};

	const order = async (index: number): Promise<void> => {
		const {nodeIndex, issuer} = routeOrder(fleet, index);
		const orderKey = fleet.orderKey(index, fleet.nodes[issuer]);
		const attempts = [attempt(index, nodeIndex, orderKey)];
		if (index % 10 === 0) {
			attempts.push(attempt(index, nextAlive(fleet, nodeIndex + 1), orderKey));
		}

		const granted = await Promise.all(attempts);
		duplicates += granted.filter(Boolean).length > 1 ? 1 : 0;
	};

	await fleet.timers.advance(warmUpMs);
	const {writes} = fleet.store.calls;
	const cpu = process.cpuUsage();
	const orders = ratePerS * durationMs / 1000;
	for (let index = 0; index < orders; index++) {
		beforeOrder?.(fleet, index * 1000 / ratePerS);
		void order(index);
		await settle();
		await fleet.timers.advance(1000 / ratePerS);
	}

	await fleet.timers.advance(drainMs);
	const cpuUsed = process.cpuUsage(cpu);
	let attempts = 0;
	for (const count of states.values()) {
		attempts += count;
	}

	return {
		orders, attempts, states, duplicates, latencyUs, writesPerOrder: (fleet.store.calls.writes - writes) / orders, cpuUsPerOrder: (cpuUsed.user + cpuUsed.system) / orders,
	};
}

/** Selects the VM that receives the order and the one that issued its key. They are the same for nine of ten orders, as callers use the first endpoint of a lookup. Keys of a VM that was detected as failed are no longer used. */
function routeOrder(fleet: FleetModel, index: number): {nodeIndex: number; issuer: number} {
	const nodeIndex = nextAlive(fleet, index * 7);
	const issuer = index % 10 === 9 ? (nodeIndex + 5) % fleet.nodes.length : nodeIndex;
	return {nodeIndex, issuer: fleet.isDetectedAsFailed(fleet.nodes[issuer]) ? nodeIndex : issuer};
}

function nextAlive(fleet: FleetModel, from: number): number {
	let nodeIndex = from % fleet.nodes.length;
	while (fleet.isDead(fleet.nodes[nodeIndex])) {
		nodeIndex = (nodeIndex + 1) % fleet.nodes.length;
	}

	return nodeIndex;
}
