#!/usr/bin/env node
import {runDaemon} from '@fescuewick/core';
import {TcpTransport} from '@fescuewick/wire';
import {startEntry} from './entry.js';
import {entrySettingsSchema} from './settings.js';

await runDaemon({
	name: 'fescuewick-entry',
	description: 'Request daemon of an entry VM',
	settingsSchema: entrySettingsSchema,
	async start(settings, deps) {
		const daemon = await startEntry(settings, {...deps, transport: new TcpTransport(), random: Math.random});
		deps.logger.info({url: daemon.url, adminUrl: daemon.adminUrl}, 'entry daemon started');
		return {stop: async () => daemon.drain()};
	},
});
