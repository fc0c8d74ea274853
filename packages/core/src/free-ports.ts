import {randomInt} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';
import {FescuewickError} from './errors.js';
import {ResultCode} from './result-codes.js';

const host = '127.0.0.1';
// The range ends below Linux's ephemeral ports (from 32,768), so that no outgoing connection takes a port before its daemon binds it.
const firstPort = 12_000;
const blockCount = 400;
const portsPerBlock = 50;
/** Ports of blocks owned by this process or worker that were not returned yet. */
let unusedPorts: number[] = [];

/**
Finds loopback ports for tests and local deployments that are free for both TCP and UDP and that were not returned before.

Test files run at once in several workers, and a port is bound only seconds after it was returned. Therefore ports are taken from blocks, and the worker that listens on the first port of a block owns it for its lifetime.
*/
export async function freePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = unusedPorts.pop();
		if (port === undefined) {
			// A concurrent call may have taken a block meanwhile.
			unusedPorts = [...unusedPorts, ...await takeBlock()];
		} else if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}

/** Takes a block that no other process or worker owns; returns its ports. */
async function takeBlock(): Promise<number[]> {
	for (let offset = randomInt(blockCount), tried = 0; tried < blockCount; tried++) {
		const guardPort = firstPort + ((offset + tried) % blockCount * portsPerBlock);
		if (await tryToOwn(guardPort)) {
			return Array.from({length: portsPerBlock - 1}, (_, index) => guardPort + 1 + index);
		}
	}

	throw new FescuewickError(ResultCode.internal, `no block of ports between ${firstPort} and ${firstPort + (blockCount * portsPerBlock)} is free on ${host}`);
}

/** Listens on a port for as long as the process or worker lives; returns false if another one does. */
async function tryToOwn(port: number): Promise<boolean> {
	const guard = createServer(socket => {
		socket.destroy();
	});
	return new Promise(resolve => {
		guard.once('error', () => {
			resolve(false);
		});
		guard.listen(port, host, () => {
			guard.unref();
			resolve(true);
		});
	});
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
