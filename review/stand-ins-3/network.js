import {once} from 'node:events';
import {createServer} from 'node:net';

const host = '127.0.0.1';
/** Below the ports that Linux gives to outgoing connections, which could take a port that is free for a moment. */
const firstPort = 12_000;
const lastPort = 31_000;

/** Makes a server listen on a loopback port, by default a free one; returns `ip:port`. */
export async function listen(server, port = 0) {
	server.listen(port, host);
	await once(server, 'listening');
	return `${host}:${server.address().port}`;
}

async function findFreePort(taken) {
	for (;;) {
		const port = firstPort + Math.floor(Math.random() * (lastPort - firstPort));
		const server = createServer();
		try {
			if (!taken.has(port)) {
				await listen(server, port);
				server.close();
				await once(server, 'close');
				return port;
			}
		} catch (error) {
			if (error.code !== 'EADDRINUSE') {
				throw error;
			}
		}
	}
}

const taken = new Set();

/** Returns free loopback addresses, other ones at each call. */
export async function freeAddresses(count) {
	const addresses = [];
	for (let index = 0; index < count; index++) {
		const port = await findFreePort(taken);
		taken.add(port);
		addresses.push(`${host}:${port}`);
	}

	return addresses;
}
