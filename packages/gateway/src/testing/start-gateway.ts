import {
	createMemoryLogger, freePorts, SystemTimerService, type TimerService,
} from '@fescuewick/core';
import {Collection, type CollectionStore} from '@fescuewick/store';
import {Gateway} from '../gateway.js';
import {type Configuration} from '../model/configuration.js';
import {gatewaySettingsSchema, type GatewaySettings} from '../settings.js';
import {configuration as defaultConfiguration, TestDialect, TestPlatformInterface} from './fixtures.js';
import {MemoryCollectionStore} from './memory-collection-store.js';

/** A started gateway on loopback with its settings and log lines. */
export type StartedGateway = {
	readonly gateway: Gateway;
	readonly settings: GatewaySettings;
	readonly lines: Array<Record<string, unknown>>;
	/** Sends a request to the entry address. */
	readonly call: (path: string, options?: RequestInit) => Promise<Response>;
};

/** Options of a gateway; the default store contains the default configuration. */
export type StartOptions = {
	readonly vm?: string;
	readonly failureDomain?: string;
	readonly store?: CollectionStore;
	readonly seeds?: readonly string[];
	readonly bounds?: Partial<GatewaySettings['bounds']>;
	/** Memory for buffered bodies, in bytes. */
	readonly maxBufferedBytes?: number;
	readonly hedging?: Partial<GatewaySettings['hedging']>;
	/** Limits of clients. Default: those of the settings. */
	readonly clients?: Partial<GatewaySettings['clients']>;
	readonly timers?: TimerService;
};

/** Starts a gateway on free ports. */
export async function startGateway({vm = 'a1', failureDomain = 'north-1', store = storeWith(defaultConfiguration(1)), seeds = [], bounds = {}, maxBufferedBytes = 33_554_432, hedging = {}, clients, timers = new SystemTimerService()}: StartOptions = {}): Promise<StartedGateway> {
	// A port that the system gives out may be taken by another test's connection before the gateway listens there.
	const ports = await freePorts(6);
	const [entry, readiness, directory, peers, heartbeats, metrics] = ports.map(port => `127.0.0.1:${port}`);
	const settings: GatewaySettings = {
		location: {vm, failureDomain, region: failureDomain.split('-')[0]},
		regions: {'north-1': 'north', 'north-2': 'north', 'south-1': 'south'},
		listen: {
			entry, readiness, directory, peers, heartbeats, metrics,
		},
		seeds: [...seeds],
		store: {address: '127.0.0.1:1'},
		answers: {maxHeadBytes: 16_384, maxBodyBytes: 67_108_864},
		uploads: {maxBufferedBytes},
		hedging: {fraction: 0, quantile: 0.95, ...hedging},
		clients: gatewaySettingsSchema.shape.clients.parse(clients),
		bounds: {
			graceMs: 3000, maxDirectoryTtlMs: 5000, retryRatio: 0.2, retrySlack: 50, retryWindowMs: 10_000, coldOvershoot: 1.5, coldSlack: 5, rateOvershoot: 0.1, rateSlack: 20, rateWindowMs: 5000, shiftMost: 0.15, configurationMs: 2500, drainMs: 2500, evacuationMs: 5000, ...bounds,
		},
	};
	const lines: Array<Record<string, unknown>> = [];
	const gateway = new Gateway(settings, {
		store, dialect: new TestDialect(), platform: new TestPlatformInterface(), timers, logger: createMemoryLogger(lines, 'info'), random: Math.random,
	});
	await gateway.start();
	return {
		gateway,
		settings,
		lines,
		call: async (path, options) => fetch(`http://${entry}${path}`, {...options, headers: {'test-key': 'key-acme', ...options?.headers}}),
	};
}

/** A store with a configuration whose routes are changed to the loopback host of the tests. */
export function storeWith(configuration: Configuration): MemoryCollectionStore {
	const store = new MemoryCollectionStore();
	store.set(Collection.configurations, 'main', {...configuration, routes: configuration.routes.map(route => ({...route, host: '127.0.0.1'}))});
	return store;
}
