#!/usr/bin/env node
import {runDaemon} from '@fescuewick/core';
import {TcpTransport} from '@fescuewick/wire';
import {lookupSettingsSchema} from './settings.js';
import {startLookup} from './start-lookup.js';

await runDaemon({
	name: 'fescuewick-lookup',
	description: 'Look-up daemon of an entry VM',
	settingsSchema: lookupSettingsSchema,
	start: async (settings, deps) => startLookup(settings, {...deps, transport: new TcpTransport()}),
});
