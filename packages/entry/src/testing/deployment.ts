import {
	createSilentLogger, hashFraction, sha256Hex, SystemTimerService, type Logger,
} from '@fescuewick/core';
import {startBackendServer, type BackendBehaviour, type BackendServer} from '@fescuewick/emulator';
import {TcpTransport, type BackendRecord, type SnapshotBody} from '@fescuewick/wire';
import {startEntry, type EntryDaemon} from '../entry.js';
import {type EntrySettingsInput} from '../settings.js';
import {FakeControl} from './fake-control.js';

/** Configuration of the test deployment: one service with a repeatable, an at-most-once and an open class. */
export const testConfiguration = {
	classes: [
		{
			name: 'check', latenessTargetMs: 200, deadlineMs: 2000, safety: 'repeatable',
		},
		{
			name: 'order', latenessTargetMs: 200, deadlineMs: 2000, safety: 'at-most-once',
		},
		{
			name: 'browse', latenessTargetMs: 500, deadlineMs: 1000, safety: 'repeatable',
		},
	],
	services: [{
		name: 'booking',
		routes: [
			{method: 'GET', pathPrefix: '/check', class: 'check'},
			{method: 'PUT', pathPrefix: '/check', class: 'check'},
			{method: 'POST', pathPrefix: '/order', class: 'order'},
			{
				method: 'GET', pathPrefix: '/open', class: 'browse', access: 'open',
			},
		],
	}],
	workspaces: [{name: 'shop', ratePerS: 10_000, burst: 10_000}, {name: 'other', ratePerS: 10_000, burst: 10_000}],
	keys: [
		{id: 'shop-1', workspace: 'shop', sha256: sha256Hex('key-of-shop')},
		{id: 'other-1', workspace: 'other', sha256: sha256Hex('key-of-other')},
	],
};

/** Key of the workspace `shop`. */
export const shopKey = 'key-of-shop';

/** A running deployment on the loopback interface; `stop` stops all its parts. */
export type Deployment = {
	readonly entry: EntryDaemon;
	readonly control: FakeControl;
	readonly backends: readonly BackendServer[];
	readonly url: string;
	stop(): Promise<void>;
};

/** Settings of a test deployment that differ from the defaults. */
export type DeploymentOptions = {
	readonly backends?: ReadonlyArray<Partial<BackendBehaviour>>;
	/** Maps the records of the emulated backend servers to those that the entry daemon receives. */
	readonly records?: (records: BackendRecord[]) => BackendRecord[];
	readonly configuration?: unknown;
	readonly snapshot?: Partial<SnapshotBody>;
	readonly limits?: EntrySettingsInput['limits'];
	readonly logger?: Logger;
	readonly configureControl?: (control: FakeControl) => void;
};

/** Starts backend servers, a fake control daemon and an entry daemon, and waits until it is ready. */
export async function startDeployment(options: DeploymentOptions = {}): Promise<Deployment> {
	const timers = new SystemTimerService();
	const backends = await Promise.all((options.backends ?? [{}]).map(async (behaviour, index) => startBackendServer(`server-${index}`, timers, behaviour)));
	const records = backends.map(({address, behaviour}, index): BackendRecord => ({
		server: `server-${index}`, service: 'booking', failureDomain: 'a', region: 'r', address, slots: behaviour.slots, connections: behaviour.connections, leaving: false,
	}));
	const control = new FakeControl(timers, {
		revision: 1,
		configuration: options.configuration ?? testConfiguration,
		members: [],
		backends: options.records?.(records) ?? records,
		revokedKeyHashes: [],
		keysAgeMs: 0,
		loads: [],
		shiftGrants: [],
		controlIncarnation: 'fake',
		...options.snapshot,
	});
	options.configureControl?.(control);
	await control.start();
	const entry = await startEntry({
		location: {vm: 'vm-1', failureDomain: 'a', region: 'r'},
		listen: {host: '127.0.0.1', port: 0},
		adminListen: {host: '127.0.0.1', port: 0},
		controlAddress: control.address,
		limits: options.limits,
	}, {
		timers, transport: new TcpTransport(), logger: options.logger ?? createSilentLogger(), random: seededRandom(1),
	});
	await until(async () => {
		const answer = await fetch(`${entry.adminUrl}/readyz`);
		// A VM whose keys were never confirmed stays unready, but tests can still send requests to it.
		return answer.ok || (options.snapshot !== undefined && 'keysAgeMs' in options.snapshot && options.snapshot.keysAgeMs === undefined);
	});
	return {
		entry,
		control,
		backends,
		url: entry.url,
		async stop() {
			await entry.stop();
			await control.stop();
			await Promise.all(backends.map(async backend => backend.close()));
		},
	};
}

/** Returns a deterministic generator of numbers in [0, 1). */
export function seededRandom(seed: number): () => number {
	let drawn = 0;
	return () => hashFraction(`${seed}/${drawn++}`);
}

/** Polls `condition` every 10 ms until it is true; throws after `limitMs`. */
export async function until(condition: () => Promise<boolean> | boolean, limitMs = 5000): Promise<void> {
	const timers = new SystemTimerService();
	const endsAtMs = timers.nowMs() + limitMs;
	while (!await condition()) {
		if (timers.nowMs() > endsAtMs) {
			throw new Error(`condition was not met within ${limitMs} ms`);
		}

		await timers.sleep(10);
	}
}
