import {type AddressInfo} from 'node:net';
import {type Server} from 'node:http';
import {
	createIncarnation, DecisionKind, DecisionWriter, Metrics, PauseDetector, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	ControlClient, fetchConfigPart, MessageType, Role, type ShiftRequestBody, type Transport,
} from '@fescuewick/wire';
import {LookupResolver} from './answers/lookup-resolver.js';
import {BlockLoader} from './blocks/block-loader.js';
import {BlockTable} from './blocks/block-table.js';
import {createLookupServer} from './http/lookup-server.js';
import {type LookupSettings} from './settings.js';
import {shiftStepMs} from './shifts/shift-controller.js';

const chunkTimeoutMs = 5000;
/** Interval at which buffered log lines of look-ups are flushed. */
const logFlushMs = 100;
const controlRequestTimeoutMs = 1000;
/** Connections that are still busy this long after the start of a stop are closed. */
const stopTimeoutMs = 5000;

/** Dependencies of a look-up daemon. */
export type LookupDeps = {
	readonly timers: TimerService;
	readonly transport: Transport;
	readonly logger: Logger;
	readonly metrics?: Metrics;
	/** Initial table of client blocks; empty by default. Chunks are loaded through the control daemon. */
	readonly blocks?: BlockTable;
};

/** A running look-up daemon. */
export type LookupDaemon = {
	readonly url: string;
	/** Stops accepting connections and resolves when all connections are closed, after 5 s at the latest. */
	stop(): Promise<void>;
};

/** Starts a look-up daemon; rejects if its address is in use. */
export async function startLookup(settings: LookupSettings, deps: LookupDeps): Promise<LookupDaemon> {
	const {timers, logger, transport} = deps;
	const {location, lookupTtlMs, nearestRegions} = settings;
	const metrics = deps.metrics ?? new Metrics({vm: location.vm, role: Role.lookup});
	const blocks = deps.blocks ?? new BlockTable();
	const resolver = new LookupResolver({
		timers, logger, location, lookupTtlMs, nearestRegions, blocks,
	});
	const loader = new BlockLoader({
		table: blocks,
		timers,
		logger,
		async fetchChunk(hash) {
			const chunk = await fetchConfigPart(async offsetBytes => control.request(MessageType.configPartRequest, {hash, offsetBytes}, chunkTimeoutMs));
			return chunk?.toString('utf8');
		},
	});
	const control = new ControlClient({
		timers,
		transport,
		logger,
		address: settings.controlAddress,
		role: Role.lookup,
		location,
		incarnation: createIncarnation(location.vm, timers),
		onSnapshot(snapshot) {
			resolver.update(snapshot);
			if (snapshot.blocks !== undefined) {
				loader.update(snapshot.blocks);
			}
		},
	});
	const pauseDetector = new PauseDetector(timers);
	pauseDetector.onPause(() => {
		resolver.controller.measurements.dropGrants();
	});
	const cancelStep = timers.repeat(shiftStepMs, () => {
		void fetchLoads(control, resolver);
		resolver.step();
		for (const request of resolver.requests) {
			void requestShiftGrant(control, resolver, timers, request);
		}
	});
	registerGauges(metrics, resolver, blocks);
	const decisions = new DecisionWriter(logger, DecisionKind.lookup);
	const cancelFlush = timers.repeat(logFlushMs, () => {
		decisions.flush();
	});
	const server = createLookupServer({
		resolver, timers, logger, decisions, metrics,
	});
	await listen(server, settings.listen);
	const {port} = server.address() as AddressInfo;
	const host = settings.listen.host.includes(':') ? `[${settings.listen.host}]` : settings.listen.host;
	logger.info({host, port, vm: location.vm}, 'look-up daemon is listening');
	return {
		url: `http://${host}:${port}`,
		async stop() {
			cancelStep();
			pauseDetector.stop();
			loader.stop();
			await closeServer(server, timers);
			cancelFlush();
			decisions.flush();
			control.stop();
		},
	};
}

/** Requests the current loads from the control daemon: snapshots are sent only when something else changes, but loads count as fresh only for 5 s. */
async function fetchLoads(control: ControlClient, resolver: LookupResolver): Promise<void> {
	if (!control.connected) {
		return;
	}

	try {
		const {entries} = await control.request(MessageType.loadsRequest, {}, controlRequestTimeoutMs);
		resolver.controller.addLoads(entries);
	} catch {
		// Ignored: the stored loads stay in use until they are too old, and the next request follows within a second.
	}
}

/** Requests a shift grant; a failed request is repeated with the next step. */
async function requestShiftGrant(control: ControlClient, resolver: LookupResolver, timers: TimerService, request: ShiftRequestBody): Promise<void> {
	if (!control.connected) {
		return;
	}

	const sentAtMs = timers.nowMs();
	try {
		const grant = await control.request(MessageType.shiftRequest, request, controlRequestTimeoutMs);
		resolver.addGrant(request, grant, sentAtMs + grant.expiresInMs);
	} catch {
		// Ignored: the current grant stays in use until it expires, and the next step sends another request within a second.
	}
}

function registerGauges(metrics: Metrics, resolver: LookupResolver, blocks: BlockTable): void {
	const blockGauge = metrics.gauge('fescuewick_client_blocks', 'Entries of the table of client blocks');
	const revisionGauge = metrics.gauge('fescuewick_revision', 'Revision of the configuration in force');
	const shiftGauge = metrics.gauge('fescuewick_shift_fraction', 'Part of a home region\'s demand that is sent elsewhere', ['service', 'home']);
	resolver.onStep = decisions => {
		blockGauge.set(blocks.size);
		revisionGauge.set(resolver.revision);
		for (const {service, home, totalFraction: total} of decisions) {
			shiftGauge.set({service, home}, total);
		}
	};
}

async function listen(server: Server, {host, port}: {host: string; port: number}): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
}

async function closeServer(server: Server, timers: TimerService): Promise<void> {
	const closed = new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	server.closeIdleConnections();
	const cancelTimeout = timers.after(stopTimeoutMs, () => {
		server.closeAllConnections();
	});
	await closed;
	cancelTimeout();
}
