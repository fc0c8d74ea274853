import {setTimeout as sleep} from 'node:timers/promises';
import {Collection} from '@fescuewick/store';
import {type BackendRecord} from '../model/records.js';
import {FakeBackendServer, type RequestListener} from './fake-backend-server.js';
import {backendRecord} from './fixtures.js';
import {type MemoryCollectionStore} from './memory-collection-store.js';
import {startGateway, type StartedGateway} from './start-gateway.js';

/** Test context that runs teardown actions. */
type TeardownContext = {teardown(action: () => unknown): void};

type BackendOptions = Partial<BackendRecord> & {readonly id: string; readonly onRequest?: RequestListener};

/** Starts a fake backend server for a test and writes its entry to the store. */
export async function addBackend(t: TeardownContext, store: MemoryCollectionStore, {id, onRequest, ...changes}: BackendOptions): Promise<FakeBackendServer> {
	const server = new FakeBackendServer(onRequest);
	store.set(Collection.backends, id, backendRecord(id, {address: await server.listen(), ...changes}));
	t.teardown(() => {
		server.close();
	});
	return server;
}

/** Starts a gateway that is stopped after the test. */
export async function start(t: TeardownContext, ...parameters: Parameters<typeof startGateway>): Promise<StartedGateway> {
	const started = await startGateway(...parameters);
	t.teardown(async () => started.gateway.stop());
	return started;
}

/** Polls until a condition is true; the timeout of the test limits it. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
	while (!await condition()) {
		await sleep(20);
	}
}

/** Status of a pending answer. */
export async function statusOf(response: Promise<Response>): Promise<number> {
	const {status} = await response;
	return status;
}

/** Result code in the header of an answer; null if there is none. */
export function resultCodeOf(response: Response): string | null {
	return response.headers.get('x-fescuewick-code');
}
