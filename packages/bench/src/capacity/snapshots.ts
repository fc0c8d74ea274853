import process from 'node:process';
import {createSilentLogger, SystemTimerService, type TimerService} from '@fescuewick/core';
import {DaemonHub} from '@fescuewick/control';
import {
	ControlClient, encodeFrame, MessageType, Role, SnapshotFeed, TcpTransport, type SnapshotBody, type SnapshotDeltaBody,
} from '@fescuewick/wire';
import {
	cpuSinceUs, cpuUsPerCall, fitSlope, type Section,
} from './measure.js';
import {incarnationOf, snapshotOf, vmRecords} from './records.js';

const cases = [
	{members: 12, workspaces: 8},
	{members: 292, workspaces: 8},
	{members: 1168, workspaces: 8},
	{members: 2336, workspaces: 8},
	{members: 12, workspaces: 400},
	{members: 12, workspaces: 2000},
	{members: 12, workspaces: 4000},
	{members: 7600, workspaces: 4000},
] as const;
const publishCount = 10;
const transferTimeoutMs = 2000;

/** Measures the snapshots that a control daemon sends to the entry and look-up daemons of its VM: the full snapshot in pages when a daemon starts, then only the changed rows. */
export async function measureSnapshots(): Promise<Section> {
	const timers = new SystemTimerService();
	const rows: Array<Array<string | number>> = [];
	for (const {members, workspaces} of cases) {
		rows.push([members, workspaces, ...await measureSize(timers, snapshotOf(vmRecords(members, 26), workspaces))]);
	}

	const points = (isIncluded: (row: Array<string | number>) => boolean, xColumn: number, yColumn: number) =>
		rows.filter(row => isIncluded(row)).map((row): [number, number] => [Number(row[xColumn]), Number(row[yColumn])]);
	const variesMembers = (row: Array<string | number>) => row[1] === 8;
	const variesWorkspaces = (row: Array<string | number>) => row[0] === 12;
	return {
		role: 'Snapshots inside a VM',
		tables: [{
			title: 'Snapshot to two daemons over loopback; each change is that of one member, and the document is read anew',
			columns: ['members', 'workspaces and keys', 'whole, bytes', 'whole, pages', 'whole encoded, CPU µs', 'change, bytes', 'publish of a change, CPU µs, both ends'],
			rows,
		}],
		slopes: [
			fitSlope('snapshot bytes by members', 'B per member', points(variesMembers, 0, 2)),
			fitSlope('snapshot bytes by workspaces with a key', 'B per workspace', points(variesWorkspaces, 1, 2)),
			fitSlope('publish processor time by members', 'µs per member', points(variesMembers, 0, 6)),
			fitSlope('publish processor time by workspaces with a key', 'µs per workspace', points(variesWorkspaces, 1, 6)),
		],
	};
}

/** Counts received snapshots and waits for a number of them without polling, whose CPU time would be included in the measurement. */
class SnapshotCounter {
	count = 0;
	#targetCount = 0;
	#resolve: (() => void) | undefined;

	constructor(readonly timers: TimerService) {}

	increment(): void {
		this.count++;
		if (this.count >= this.#targetCount) {
			this.#resolve?.();
		}
	}

	async waitFor(count: number): Promise<void> {
		if (this.count >= count) {
			return;
		}

		this.#targetCount = count;
		await new Promise<void>((resolve, reject) => {
			const cancel = this.timers.after(transferTimeoutMs, () => {
				reject(new Error(`received ${this.count} of ${count} snapshots within ${transferTimeoutMs} ms`));
			});
			this.#resolve = () => {
				cancel();
				resolve();
			};
		});
	}
}

function bytesOf(pages: readonly SnapshotDeltaBody[]): number {
	return pages.reduce((sum, page) => sum + encodeFrame(MessageType.snapshotDelta, 0, page).length, 0);
}

/** Creates the snapshot after a change of one member; its document is an equal copy, as if it had been read again after a change of the configuration. */
function changedSnapshot(snapshot: SnapshotBody, change: number): SnapshotBody {
	const members = snapshot.members.map((member, index) => index === change % snapshot.members.length ? {...member, leaving: !member.leaving} : member);
	return {...snapshot, members, configuration: structuredClone(snapshot.configuration)};
}

async function measureSize(timers: TimerService, snapshot: SnapshotBody): Promise<Array<string | number>> {
	const feed = new SnapshotFeed();
	const pages = feed.update(snapshot);
	const change = feed.update(changedSnapshot(snapshot, 1));
	const encodeUs = cpuUsPerCall(() => bytesOf(new SnapshotFeed().update(snapshot)), 60);
	return [bytesOf(pages), pages.length, encodeUs, bytesOf(change), await measurePublish(timers, snapshot)];
}

async function measurePublish(timers: TimerService, first: SnapshotBody): Promise<number> {
	let snapshot = first;
	const logger = createSilentLogger();
	const location = {vm: 'vm-00000', failureDomain: 'region-0-0', region: 'region-0'};
	const incarnation = incarnationOf(location.vm);
	const common = {
		timers, transport: new TcpTransport(), logger, location, incarnation,
	};
	const hub = new DaemonHub({
		...common,
		address: '127.0.0.1:0',
		heartbeat: () => ({revision: 1, freshnessAgeMs: 100, storeReachable: true}),
		snapshot: () => snapshot,
		handlers: {},
		onMessage() {/* The daemons send nothing. */},
		onRolesChange() {/* Role changes do not affect the measurement. */},
	});
	const address = await hub.start();
	const counter = new SnapshotCounter(timers);
	const clients = [Role.entry, Role.lookup].map(role => new ControlClient({
		...common, address, role, onSnapshot() {
			counter.increment();
		},
	}));
	await counter.waitFor(2);
	const countBefore = counter.count;
	const changed = Array.from({length: publishCount}, (_, index) => changedSnapshot(first, index));
	const cpu = process.cpuUsage();
	for (let publish = 1; publish <= publishCount; publish++) {
		snapshot = changed[publish - 1];
		hub.publish();
		await counter.waitFor(countBefore + (2 * publish));
	}

	const cpuUs = cpuSinceUs(cpu) / publishCount;
	for (const client of clients) {
		client.stop();
	}

	await hub.stop();
	return cpuUs;
}
