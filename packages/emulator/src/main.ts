#!/usr/bin/env node
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {Command, InvalidArgumentError} from 'commander';
import {SystemTimerService} from '@fescuewick/core';
import {MemoryObjectStore} from '@fescuewick/store';
import {startBackendServer} from './backend-server.js';
import {startStoreServer} from './store-server.js';

type Address = {host: string; port: number};

const timers = new SystemTimerService();
const program = new Command('fescuewick-emulator').description('Stand-ins for the object store and backend servers, for trials and tests');
program
	.command('store')
	.description('Serves an object store that keeps its objects in memory')
	.requiredOption('--listen <address>', 'IP address and port', parseAddress)
	.option('--objects <file>', 'JSON file with objects to start with, as {"key": value}')
	.action(async (options: {listen: Address; objects?: string}) => {
		const store = new MemoryObjectStore(timers);
		const objects = options.objects === undefined ? {} : JSON.parse(readFileSync(options.objects, 'utf8')) as Record<string, unknown>;
		for (const [key, value] of Object.entries(objects)) {
			await store.write(key, value, undefined);
		}

		await runUntilStopped(await startStoreServer(store, options.listen));
	});
program
	.command('backend')
	.description('Serves a backend server that echoes requests; GET /observations returns what it observed')
	.requiredOption('--listen <address>', 'IP address and port', parseAddress)
	.requiredOption('--name <name>', 'name of the server')
	.option('--slots <count>', 'requests it processes at once', Number, 8)
	.option('--connections <count>', 'connections it accepts', Number, 330)
	.option('--service-ms <duration>', 'time to process a request, in milliseconds', Number, 5)
	.action(async (options: {listen: Address; name: string; slots: number; connections: number; serviceMs: number}) => {
		const {name, slots, connections, serviceMs} = options;
		await runUntilStopped(await startBackendServer(name, timers, {slots, connections, serviceMs}, options.listen));
	});
await program.parseAsync();

function parseAddress(text: string): Address {
	const match = /^(?<host>[\d.]+|\[[\da-f:]+]):(?<port>\d{1,5})$/.exec(text);
	if (match?.groups === undefined) {
		throw new InvalidArgumentError('must be an IP address and a port, as in 127.0.0.1:9000');
	}

	return {host: match.groups.host.replaceAll(/[[\]]/g, ''), port: Number(match.groups.port)};
}

async function runUntilStopped(server: {readonly url: string; close(): Promise<void>}): Promise<void> {
	process.stdout.write(`ready: ${server.url}\n`);
	await Promise.race([once(process, 'SIGTERM'), once(process, 'SIGINT')]);
	await server.close();
	process.exit(0);
}
