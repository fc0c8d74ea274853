import {randomInt} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';
import process from 'node:process';

const host = '127.0.0.1';
// Below the range that the kernel gives to outgoing connections, which could take a planned port before its daemon starts.
const firstPort = 12_000;
const portCount = 20_000;
/** A port is free between its choice and its use, so processes that run at the same time choose from different slices of the ports. */
const sliceCount = 8;
const portsPerSlice = portCount / sliceCount;
const handedOut = new Set<number>();

/** Picks loopback ports for tests and local deployments that are free now, for TCP and UDP, and were not picked before by this process. */
export async function freePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	for (const port of portCandidates(process.pid)) {
		if (ports.length === count) {
			return ports;
		}

		if (!handedOut.has(port) && await isFree(port)) {
			handedOut.add(port);
			ports.push(port);
		}
	}

	throw new Error(`fewer than ${count} ports from ${firstPort} to ${firstPort + portCount - 1} are free`);
}

/** Ports of the process's own slice in random order, then those of the others: processes with consecutive ids share no slice. */
export function * portCandidates(processId: number): Generator<number> {
	for (let index = 0; index < sliceCount; index++) {
		const slice = (processId + index) % sliceCount;
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
