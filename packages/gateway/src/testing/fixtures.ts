import {type Configuration, type Route, type Workspace} from '../model/configuration.js';
import {BackendState, type BackendRecord, type VmRecord} from '../model/records.js';
import {
	HeaderDialect, type AnswerFields, type AddedFields, type HeaderMap, type RequestFields,
} from '../forward/header-dialect.js';
import {PlatformInterface} from '../server/auxiliary-servers.js';

/** A VM record; the name of the failure domain begins with its region, as in `north-1`. */
export function vmRecord(vm: string, failureDomain: string, port = 9000): VmRecord {
	const address = `127.0.0.1:${port}`;
	return {
		vm, failureDomain, region: failureDomain.split('-')[0], entryAddress: address, peerAddress: address, heartbeatAddress: address,
	};
}

/** A record of a ready server that is not cold. */
export function backendRecord(id: string, changes: Partial<BackendRecord> = {}): BackendRecord {
	return {
		id, service: 'stock', address: '127.0.0.1:9', failureDomain: 'north-1', slots: 4, state: BackendState.ready, coldForMs: 0, startedAtMs: 1, ...changes,
	};
}

/** A repeatable route with a target of 400 ms. */
export function route(changes: Partial<Route> = {}): Route {
	return {
		name: 'check', host: 'shop.test', pathPrefix: '/check/', isRepeatable: true, timeoutMs: 2000, targetMs: 400, priority: 2, maxAttempts: 2,
		isOpen: false, hasAffinity: false, homeRegions: [], parts: [{service: 'stock', weight: 1}], ...changes,
	};
}

/** A workspace with one key, `key-NAME`. */
export function workspace(name: string, changes: Partial<Workspace> = {}): Workspace {
	return {
		name, keys: [`key-${name}`], priority: undefined, ratePerS: 0, burst: 0, homeRegions: [], ...changes,
	};
}

/** A configuration with one service. */
export function configuration(version: number, changes: Partial<Configuration> = {}): Configuration {
	return {
		version,
		routes: [route(), route({
			name: 'reserve', pathPrefix: '/reserve/', isRepeatable: false, priority: 1,
		})],
		services: [{
			name: 'stock', healthPath: '/health', maxConnections: 100, coldStartMs: 3000, coldRatePerS: 6,
		}],
		workspaces: [workspace('acme')],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		...changes,
	};
}

function firstValue(value: string | string[] | undefined): string | undefined {
	return Array.isArray(value) ? value[0] : value;
}

function finiteNumber(text: string | undefined): number | undefined {
	return Number.isFinite(Number(text)) ? Number(text) : undefined;
}

/** Header dialect of the tests' callers and servers. */
export class TestDialect extends HeaderDialect {
	get requestIdHeader(): string {
		return 'test-id';
	}

	readRequest(headers: HeaderMap): RequestFields {
		const timeLeft = firstValue(headers['test-time-left']);
		return {
			id: firstValue(headers['test-id']),
			timeLeftMs: timeLeft === undefined ? undefined : Number(timeLeft),
			key: firstValue(headers['test-key']),
			affinityKey: firstValue(headers['test-object']),
		};
	}

	isReserved(name: string): boolean {
		return ['test-id', 'test-key', 'test-workspace', 'test-server', 'test-time-left'].includes(name);
	}

	addedHeaders({id, timeLeftMs, workspace, server}: AddedFields): string[] {
		return ['test-id', id, 'test-time-left', String(timeLeftMs), 'test-server', server, ...(workspace === undefined ? [] : ['test-workspace', workspace])];
	}

	readAnswer(status: number, headers: HeaderMap): AnswerFields {
		const cold = firstValue(headers['test-cold']);
		const [running, waiting] = firstValue(headers['test-load'])?.split(',').map(Number) ?? [];
		return {
			id: firstValue(headers['test-id']),
			isNotRun: headers['test-not-run'] !== undefined,
			isMisdirected: status === 421,
			isProven: headers['test-proof'] !== undefined,
			load: running === undefined ? undefined : {running, waiting},
			server: firstValue(headers['test-instance']),
			coldForMs: cold === undefined ? undefined : Number(cold),
			isLeaving: headers['test-leaving'] !== undefined,
			limit: headers['test-limit'] === undefined ? undefined : {perS: finiteNumber(firstValue(headers['test-limit']))},
			pauseMs: status === 503 && headers['test-pause'] !== undefined ? Number(firstValue(headers['test-pause'])) : undefined,
		};
	}
}

/** Readiness and directory endpoints of the tests. */
export class TestPlatformInterface extends PlatformInterface {
	get readinessPath(): string {
		return '/ready';
	}

	get directoryPath(): string {
		return '/directory';
	}

	readCaller(query: URLSearchParams): {readonly failureDomain: string; readonly region: string} {
		return {failureDomain: query.get('domain') ?? '', region: query.get('region') ?? ''};
	}

	directoryBody(addresses: readonly string[], ttlMs: number): unknown {
		return {addresses, ttlMs};
	}
}
