import {randomInt} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';

const host = '127.0.0.1';
// Below the range that the kernel gives to outgoing connections, which could take a planned port before its daemon starts.
const firstPort = 12_000;
const portCount = 20_000;
const handedOut = new Set<number>();

/** Picks loopback ports for tests and local deployments that are free now, for TCP and UDP, and were not picked before by this process. */
export async function freePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = firstPort + randomInt(portCount);
		if (handedOut.has(port)) {
			continue;
		}

		// Before the check, because another call may look at the same port meanwhile.
		handedOut.add(port);
		if (await isFree(port)) {
			ports.push(port);
		}
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
