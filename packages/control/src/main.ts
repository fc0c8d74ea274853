#!/usr/bin/env node
import {runDaemon} from '@fescuewick/core';
import {TcpTransport} from '@fescuewick/wire';
import {startControl} from './control-daemon.js';
import {controlSettingsSchema} from './settings.js';

await runDaemon({
	name: 'fescuewick-control',
	description: 'Control daemon of an entry VM',
	settingsSchema: controlSettingsSchema,
	async start(settings, deps) {
		const daemon = await startControl(settings, {...deps, transport: new TcpTransport(), random: Math.random});
		return {stop: async () => daemon.drain()};
	},
});
