import {readFileSync} from 'node:fs';
import test from 'ava';
import {controlSettingsSchema} from '@fescuewick/control';
import {parseYaml} from '@fescuewick/core';
import {entrySettingsSchema} from '@fescuewick/entry';
import {lookupSettingsSchema} from '@fescuewick/lookup';
import {scenarioSchema} from './load/scenario.js';

const root = new URL('../../../', import.meta.url);

// Guards against example settings and experiments that the daemons and the load tool reject as invalid.
for (const [file, schema] of [
	['examples/settings/control.yaml', controlSettingsSchema],
	['examples/settings/entry.yaml', entrySettingsSchema],
	['examples/settings/lookup.yaml', lookupSettingsSchema],
	...['steady', 'smoke', 'greedy-workspace', 'vm-death', 'planned-stop', 'store-outage', 'drain', 'notice-vm-death', 'notice-greedy-workspace'].map(name => [`experiments/${name}.yaml`, scenarioSchema] as const),
] as const) {
	test(`${file} is valid`, t => {
		const {problems} = parseYaml(readFileSync(new URL(file, root), 'utf8'), file, schema);
		t.deepEqual(problems, []);
	});
}
