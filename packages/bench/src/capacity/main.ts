#!/usr/bin/env node
import process from 'node:process';
import {Command, Option} from 'commander';
import {measureAllocator} from './allocator.js';
import {measureBlocks} from './blocks.js';
import {measureEntry} from './entry.js';
import {measureHeartbeats} from './heartbeats.js';
import {measureLoads} from './loads.js';
import {measureLookups} from './lookups.js';
import {measureMembers} from './members.js';
import {type Measurement, type Section} from './measure.js';
import {measureOrders} from './orders.js';
import {measurePlacement} from './placement.js';
import {measureRelay} from './relay.js';
import {renderSections} from './report.js';
import {measureShares} from './shares.js';
import {measureSnapshots} from './snapshots.js';
import {sumAtDesignSize} from './design-size-sums.js';

const measurements: Readonly<Record<string, Measurement>> = {
	heartbeats: measureHeartbeats,
	members: measureMembers,
	loads: measureLoads,
	relay: measureRelay,
	shares: measureShares,
	allocator: measureAllocator,
	blocks: measureBlocks,
	lookups: measureLookups,
	orders: measureOrders,
	snapshots: measureSnapshots,
	entry: measureEntry,
	placement: measurePlacement,
};

const program = new Command('capacity')
	.description('Measures the slopes that docs/CAPACITY.md is based on')
	.argument('[roles...]', `roles to measure, all by default: ${Object.keys(measurements).join(', ')}`)
	.addOption(new Option('--output <format>', 'format of the report').choices(['table', 'json']).default('table'))
	.action(async (roles: string[], {output}: {output: string}) => {
		const unknown = roles.find(role => measurements[role] === undefined);
		if (unknown !== undefined) {
			program.error(`unknown role ${unknown}, known roles are ${Object.keys(measurements).join(', ')}`);
		}

		const sections: Section[] = [];
		for (const role of roles.length === 0 ? Object.keys(measurements) : roles) {
			process.stderr.write(`measuring ${role}\n`);
			sections.push(await measurements[role]());
		}

		if (roles.length === 0) {
			sections.push(sumAtDesignSize(sections));
		}

		process.stdout.write(output === 'json' ? `${JSON.stringify(sections, undefined, '\t')}\n` : renderSections(sections));
	});
await program.parseAsync();
