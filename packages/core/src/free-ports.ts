import {randomInt} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';

const host = '127.0.0.1';
// The range ends below Linux's ephemeral ports (from 32,768), so that no outgoing connection takes a port before its daemon binds it.
const firstPort = 12_000;
const portCount = 20_000;
const allocatedPorts = new Set<number>();

/** Finds loopback ports for tests and local deployments that are free for both TCP and UDP and that this process has not returned before. */
export async function freePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = firstPort + randomInt(portCount);
		if (allocatedPorts.has(port)) {
			continue;
		}

		// Recorded before the check, because a concurrent call may check the same port.
		allocatedPorts.add(port);
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
