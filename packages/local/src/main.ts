#!/usr/bin/env node
import {once} from 'node:events';
import process from 'node:process';
import {createLogger, SystemTimerService} from '@fescuewick/core';
import {demoConfiguration} from './demo-configuration.js';
import {startDeployment} from './deployment.js';
import {rentalTopology} from './topology.js';

const defaultLookupPort = 8080;
const logger = createLogger('fescuewick-local', process.env.FESCUEWICK_LOG ?? 'warn');
const deployment = await startDeployment({
	topology: rentalTopology,
	configuration: demoConfiguration(),
	timers: new SystemTimerService(),
	logger,
	// Short, because the whole deployment stops and callers with cached look-up answers have no other VM to switch to.
	drainAcceptMs: 500,
	lookupPort: Number(process.env.FESCUEWICK_LOOKUP_PORT ?? defaultLookupPort),
	storePort: Number(process.env.FESCUEWICK_STORE_PORT ?? 8090),
});
const [firstVm] = deployment.vms;
process.stdout.write(`ready: look-up ${firstVm.record.lookupUrl}/v1/lookup, store ${deployment.storeUrl}, admin ${firstVm.record.adminUrl}\n`);
await Promise.race([once(process, 'SIGTERM'), once(process, 'SIGINT')]);
await Promise.all(deployment.vms.map(async vm => vm.drainEntry()));
await deployment.stop();
logger.flush();
process.exit(0);
