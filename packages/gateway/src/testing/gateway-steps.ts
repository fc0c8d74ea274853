import {setTimeout as sleep} from 'node:timers/promises';
import {Collection} from '@fescuewick/store';
import {type BackendRecord} from '../model/records.js';
import {BackendStandIn, type Answering} from './backend-stand-in.js';
import {backendRecord} from './fixtures.js';
import {type MemoryCollectionStore} from './memory-collection-store.js';
import {startGateway, type StartedGateway} from './start-gateway.js';

/** A test that ends what was started for it. */
type TestContext = {teardown(action: () => unknown): void};

type BackendOptions = Partial<BackendRecord> & {readonly id: string; readonly answering?: Answering};

/** Starts a backend server for a test and writes its entry. */
export async function addBackend(t: TestContext, store: MemoryCollectionStore, {id, answering, ...changes}: BackendOptions): Promise<BackendStandIn> {
	const server = new BackendStandIn(answering);
	store.set(Collection.backends, id, backendRecord(id, {address: await server.listen(), ...changes}));
	t.teardown(() => {
		server.close();
	});
	return server;
}

/** Starts a gateway that stops with the test. */
export async function start(t: TestContext, ...parameters: Parameters<typeof startGateway>): Promise<StartedGateway> {
	const started = await startGateway(...parameters);
	t.teardown(async () => started.gateway.stop());
	return started;
}

/** Waits until a condition holds; the test's time limit ends it otherwise. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
	while (!await condition()) {
		await sleep(20);
	}
}

/** Status of an answer to come. */
export async function statusOf(response: Promise<Response>): Promise<number> {
	const {status} = await response;
	return status;
}

/** Result code of an answer. */
export function code(response: Response): string | null {
	return response.headers.get('x-fescuewick-code');
}
