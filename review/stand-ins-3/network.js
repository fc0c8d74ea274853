import {once} from 'node:events';
import {createServer} from 'node:net';

const host = '127.0.0.1';

/** Makes a server listen on a free loopback port; returns `ip:port`. */
export async function listen(server) {
	server.listen(0, host);
	await once(server, 'listening');
	return `${host}:${server.address().port}`;
}

/** Returns free loopback addresses. */
export async function freeAddresses(count) {
	const servers = Array.from({length: count}, () => createServer());
	const addresses = await Promise.all(servers.map(server => listen(server)));
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return addresses;
}
