import {randomInt} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';
import process from 'node:process';
import {threadId} from 'node:worker_threads';

const host = '127.0.0.1';
// Below the range that the kernel gives to outgoing connections, which could take a planned port before its daemon starts.
const firstPort = 12_000;
const portCount = 20_000;
/** A port is free between its choice and its use, so processes and threads that run at the same time choose from different slices of the ports. */
const sliceCount = 16;
const portsPerSlice = portCount / sliceCount;
const handedOut = new Set<number>();

/** Picks loopback ports for tests and local deployments that are free now, for TCP and UDP, and were not picked before by this thread. */
export async function freePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	for (const port of portCandidates(process.pid + threadId)) {
		if (ports.length === count) {
			return ports;
		}

		if (handedOut.has(port)) {
			continue;
		}

		// Before the check, because another call may look at the same port meanwhile.
		handedOut.add(port);
		if (await isFree(port)) {
			ports.push(port);
		}
	}

	if (ports.length === count) {
		return ports;
	}

	throw new Error(`fewer than ${count} ports from ${firstPort} to ${firstPort + portCount - 1} are free`);
}

/** Ports of the caller's own slice in random order, then those of the others; callers with consecutive ids share no slice. */
export function * portCandidates(id: number): Generator<number> {
	for (let index = 0; index < sliceCount; index++) {
		const slice = (id + index) % sliceCount;
		yield * shuffled(firstPort + (slice * portsPerSlice), portsPerSlice);
	}
}

function shuffled(first: number, length: number): number[] {
	const ports = Array.from({length}, (_, index) => first + index);
	for (let index = ports.length - 1; index > 0; index--) {
		const other = randomInt(index + 1);
		[ports[index], ports[other]] = [ports[other], ports[index]];
	}

	return ports;
}

async function isFree(port: number): Promise<boolean> {
	return await isFreeForTcp(port) && isFreeForUdp(port);
}

async function isFreeForUdp(port: number): Promise<boolean> {
	const socket = createSocket('udp4');
	return new Promise(resolve => {
		socket.once('error', () => {
			socket.close();
			resolve(false);
		});
		socket.bind(port, host, () => {
			socket.close(() => {
				resolve(true);
			});
		});
	});
}

async function isFreeForTcp(port: number): Promise<boolean> {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
