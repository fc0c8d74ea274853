import process from 'node:process';
import {connect, type Socket} from 'node:net';
import test, {registerCompletionHandler} from 'ava';
import fc from 'fast-check';
import {keyHeaderName} from '@fescuewick/platform/stand-ins';
import {sleep} from '../caller.js';
import {
	GatewayUnderTest, host, key, Listener,
} from './gateway-under-test.js';

// Connections that stay open after the tests would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

/** Seed of the runs; another one may be given to search for faults. */
const seed = Number(process.env.FUZZ_SEED ?? 20_261_206);
const runs = Number(process.env.FUZZ_RUNS ?? 12);
const connectionCount = 40;
/** Memory of the smallest VM, in MB. */
const memoryMb = 202;
const heapMb = 64;
const descriptors = 400;
const usableDescriptors = 360;
/** Pause after each step, in milliseconds. */
const stepMs = 5;

enum Action {
	open = 'open',
	sendPiece = 'send-piece',
	pipeline = 'pipeline',
	sendBody = 'send-body',
	sendGarbage = 'send-garbage',
	stopReading = 'stop-reading',
	readOn = 'read-on',
	halfClose = 'half-close',
	reset = 'reset',
}

const listeners = Object.values(Listener);
const paths = ['/check/a', '/order/a', '/nowhere', '/ready', '/resolve?zone=domain-a&region=region-a', '/v1/members', '/metrics'];

/** One step of a client; `connection` is the one it acts on, `amount` how much it sends. */
const step = fc.record({
	action: fc.constantFrom(...Object.values(Action)),
	connection: fc.nat(connectionCount - 1),
	listener: fc.constantFrom(...listeners, Listener.entry, Listener.entry),
	path: fc.constantFrom(...paths),
	hasKey: fc.boolean(),
	amount: fc.nat(2000),
});
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

const head = ({path, hasKey}: Step, method = 'GET') => `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\n${hasKey ? `${keyHeaderName}: ${key}\r\n` : ''}`;

/** Clients that behave in any way; each slot holds at most one connection. */
class FuzzClients {
	readonly #sockets = new Map<number, Socket>();

	constructor(private readonly gateway: GatewayUnderTest) {}

	act(taken: Step): void {
		const {action, connection, listener, amount} = taken;
		if (action === Action.open) {
			this.#sockets.get(connection)?.destroy();
			const socket = connect({port: this.gateway.ports.get(listener)!, host: '127.0.0.1', allowHalfOpen: amount % 2 === 0});
			socket.on('error', () => undefined);
			socket.resume();
			this.#sockets.set(connection, socket);
			return;
		}

		const socket = this.#sockets.get(connection);
		if (socket === undefined || socket.destroyed) {
			return;
		}

		switch (action) {
			case Action.sendPiece: {
				const text = `${head(taken)}\r\n`;
				this.#write(socket, text.slice(0, amount % text.length));
				break;
			}

			case Action.pipeline: {
				this.#write(socket, `${head(taken)}\r\n`.repeat(amount));
				break;
			}

			case Action.sendBody: {
				this.#write(socket, `${head(taken, 'POST')}Transfer-Encoding: chunked\r\n\r\n${`${(amount % 16 || 1).toString(16)}\r\n${'b'.repeat(amount % 16 || 1)}\r\n`.repeat(amount)}${amount % 3 === 0 ? '0\r\n\r\n' : ''}`);
				break;
			}

			case Action.sendGarbage: {
				this.#write(socket, '\u0000 \r\n'.repeat(amount));
				break;
			}

			case Action.stopReading: {
				socket.pause();
				break;
			}

			case Action.readOn: {
				socket.resume();
				break;
			}

			case Action.halfClose: {
				socket.end();
				break;
			}

			default: {
				socket.resetAndDestroy();
			}
		}
	}

	end(): void {
		for (const socket of this.#sockets.values()) {
			socket.destroy();
		}
	}

	#write(socket: Socket, text: string): void {
		// What the gateway does not take must not fill the memory of the test.
		if (socket.writable && socket.writableLength < 1_000_000) {
			socket.write(text, 'latin1');
		}
	}
}

// Guards against sequences of a client's actions that end or hang the process, or that make it lose count of what its connections hold.
test.serial('a gateway outlives clients that open, send in pieces, pipeline, stop reading, half-close and reset at random', async t => {
	t.timeout(140_000);
	const gateway = await GatewayUnderTest.start(t, {heapMb, descriptors, answerBytes: 50_000});
	t.log(`seed ${seed}`);
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 300, maxLength: 600, size: 'max'}), async steps => {
		const clients = new FuzzClients(gateway);
		try {
			for (const taken of steps) {
				clients.act(taken);
				await sleep(stepMs);
			}

			const statuses = [await gateway.ordinaryRequest(Listener.entry, '/check/a'), await gateway.ordinaryRequest(Listener.readiness, '/ready'), await gateway.ordinaryRequest(Listener.metrics, '/metrics')];
			const {ended, peakMb, peakDescriptors} = gateway.measurements;
			const result = `ended ${ended}, ${peakMb} MB, ${peakDescriptors} descriptors, ordinary requests ${statuses.join(' ')}`;
			if (ended !== undefined || peakMb >= memoryMb || peakDescriptors > usableDescriptors || statuses.some(status => status !== '200')) {
				throw new Error(result);
			}
		} finally {
			clients.end();
		}
	}), {seed, numRuns: runs, endOnFailure: true});
	const {peakMb, peakDescriptors} = gateway.measurements;
	t.log(`peak ${peakMb} MB, ${peakDescriptors} descriptors`);
	// Connections of clients that left must not stay behind.
	await sleep(3000);
	const text = await gateway.metrics();
	const counts = [...text.matchAll(/^fescuewick_client_connections{.*} (\d+)$/gm)].map(([, count]) => Number(count));
	t.true(counts.length > 0);
	t.true(counts.reduce((sum, count) => sum + count, 0) < 10, `${counts.join(', ')} connections`);
});
