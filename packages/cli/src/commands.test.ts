import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {headKey, loadConfiguration} from '@fescuewick/config';
import {FakeFleet} from './fake-fleet.js';

const configurationText = `classes:
  - {name: check, latenessTargetMs: 100, deadlineMs: 1000, safety: repeatable}
services:
  - {name: booking, routes: [{method: GET, pathPrefix: /, class: check}]}
workspaces:
  - {name: bole, ratePerS: 10, burst: 20}
  - {name: piassa, ratePerS: 5, burst: 5}
`;

function writeTemporaryFile(t: ExecutionContext, text: string): string {
	const folder = mkdtempSync(path.join(tmpdir(), 'fescuewick-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true});
	});
	const file = path.join(folder, 'a.yaml');
	writeFileSync(file, text);
	return file;
}

async function createConfiguredFleet(t: ExecutionContext, vms?: string[]): Promise<{fleet: FakeFleet; file: string}> {
	const fleet = new FakeFleet(vms);
	await fleet.writeVmList();
	const file = writeTemporaryFile(t, configurationText);
	const result = await fleet.run('apply', file);
	t.is(result.exitCode, 0, result.err);
	return {fleet, file};
}

// Guards against a dry run, a diff or a refused file that writes something.
test('dry run, diff and invalid files write nothing', async t => {
	const fleet = new FakeFleet();
	const file = writeTemporaryFile(t, configurationText);
	const dryRun = await fleet.run('apply', file, '--dry-run');
	t.regex(dryRun.out, /\+ workspaces\/bole/);
	await fleet.run('diff', file);
	const invalid = await fleet.run('apply', writeTemporaryFile(t, configurationText.replace('class: check', 'class: chek')));
	t.is(invalid.exitCode, 3);
	t.regex(invalid.err, /error 4000 configurationInvalid: .*a\.yaml:4: services\.0\.routes\.0\.class/);
	t.is(fleet.store.calls.writes, 0);
});

// Guards against a file that silently reverts changes that other operators made after its base revision.
test('a file from an older revision is refused and the changes since are listed', async t => {
	const {fleet} = await createConfiguredFleet(t);
	const shown = await fleet.run('show');
	const file = writeTemporaryFile(t, shown.out.replace('ratePerS: 10', 'ratePerS: 11'));
	await fleet.run('key', 'issue', 'piassa', '--id', 'till');
	const refused = await fleet.run('apply', file);
	t.is(refused.exitCode, 4);
	t.regex(refused.out, /revision 2 by abeba: issue key till/);
	const removing = await fleet.run('apply', writeTemporaryFile(t, configurationText));
	t.is(removing.exitCode, 4);
	t.regex(removing.err, /would remove keys\/till/);
	const head = await fleet.head();
	t.is(head.revision, 2);
	const forced = await fleet.run('apply', file, '--base', 'current');
	t.is(forced.exitCode, 0);
	t.is(fleet.vms[0].revoked.size, 1, 'the removed key is revoked');
});

// Guards against permanently revoking a key that a file only renames, and against accepting a withdrawn key, which VMs would refuse.
test('a renamed key keeps working and a withdrawn key is not accepted again', async t => {
	const {fleet} = await createConfiguredFleet(t);
	await fleet.run('key', 'issue', 'piassa', '--id', 'till');
	const shown = await fleet.run('show');
	const renamed = await fleet.run('apply', writeTemporaryFile(t, shown.out.replace('id: till', 'id: counter')));
	t.is(renamed.exitCode, 0, renamed.err);
	t.is(fleet.vms[0].revoked.size, 0);
	await fleet.run('key', 'withdraw', 'counter');
	const again = await fleet.run('apply', writeTemporaryFile(t, shown.out), '--base', 'current');
	t.is(again.exitCode, 3);
	t.regex(again.err, /key till was withdrawn/);
});

// Guards against a conflict that is reported without the other operator's changes, and against overwriting these changes.
test('a conflicting apply reports what changed and whether it touches the same objects', async t => {
	const {fleet} = await createConfiguredFleet(t);
	const file = writeTemporaryFile(t, configurationText.replace('ratePerS: 10', 'ratePerS: 11'));
	const write = fleet.store.write.bind(fleet.store);
	let hasRaced = false;
	fleet.store.write = async (key, value, version) => {
		if (key === headKey && !hasRaced) {
			hasRaced = true;
			const base = await loadConfiguration(fleet.store);
			const {applyConfiguration, setWorkspaceRate} = await import('@fescuewick/config');
			await applyConfiguration(fleet.store, base, setWorkspaceRate(base!.document, 'bole', {ratePerS: 99}), {author: 'biruk', summary: 'bole to 99'});
		}

		return write(key, value, version);
	};

	const conflict = await fleet.run('apply', file);
	t.is(conflict.exitCode, 4);
	t.regex(conflict.err, /4001 configurationConflict: .*biruk: bole to 99/);
	t.regex(conflict.out, /workspaces\/bole ratePerS 10 -> 99\nboth changes touch: workspaces\/bole/);
	const loaded = await loadConfiguration(fleet.store);
	t.is(loaded?.document.workspaces[0].ratePerS, 99);
});

// Guards against concurrent edits that fail or overwrite each other, also when answers of the store are lost.
test('concurrent edits of several operators are each accepted exactly once', async t => {
	const {fleet} = await createConfiguredFleet(t);
	fleet.store.faults.loseAnswers = 3;
	const results = await Promise.all(['a', 'b', 'c', 'd'].map(async id => fleet.run('key', 'issue', 'bole', '--id', id)));
	t.deepEqual(results.map(result => result.exitCode), [0, 0, 0, 0]);
	const loaded = await loadConfiguration(fleet.store);
	t.deepEqual(loaded?.document.keys.map(key => key.id), ['a', 'b', 'c', 'd']);
	t.is(loaded?.head.revision, 5);
});

// Guards against a key whose text is stored, listed or printed a second time.
test('the text of a key is printed once and stored nowhere', async t => {
	const {fleet} = await createConfiguredFleet(t);
	const issued = await fleet.run('--output', 'json', 'key', 'issue', 'bole', '--id', 'till', '--wait');
	const {key} = JSON.parse(issued.out) as {key: string};
	t.is(key.length, 47);
	for (const args of [['show'], ['key', 'list'], ['--output', 'json', 'show'], ['status'], ['key', 'withdraw', 'till']]) {
		await fleet.run(...args);
	}

	t.is(fleet.outputTexts.join('\n').split(key).length - 1, 1);
	const objects = await fleet.store.list('');
	t.false(JSON.stringify(objects).includes(key));
});

// Guards against printing a key whose acceptance is unknown, because the store's answer to the write was lost and the store then failed.
test('a key that may not have been accepted is not printed', async t => {
	const {fleet} = await createConfiguredFleet(t);
	const write = fleet.store.write.bind(fleet.store);
	fleet.store.write = async (key, value, version) => {
		fleet.store.faults.loseAnswers = key === headKey ? 1 : 0;
		try {
			return await write(key, value, version);
		} finally {
			fleet.store.faults.down = key === headKey;
		}
	};

	const issued = await fleet.run('key', 'issue', 'bole', '--id', 'till');
	t.is(issued.exitCode, 7);
	t.is(issued.out, '');
	t.regex(issued.err, /3003 storeOutcomeUnknown: key till may have been issued/);
});

// Guards against reporting a change as confirmed while a VM does not have it, is unreachable, or is missing from the platform's list.
test('--wait names every VM that has not confirmed', async t => {
	const {fleet} = await createConfiguredFleet(t, ['vm-1', 'vm-2', 'vm-3']);
	const allConfirmed = await fleet.run('rate', 'bole', '--rate-per-s', '11', '--wait');
	t.is(allConfirmed.exitCode, 0, allConfirmed.err);
	fleet.vms[1].revision = 1;
	fleet.vms[2].reachable = false;
	fleet.vms[0].members = [{vm: 'vm-9', state: 'alive', revision: 1}, {vm: 'vm-3', state: 'dead', revision: 2}];
	const partlyConfirmed = await fleet.run('rate', 'bole', '--rate-per-s', '12', '--wait', '--wait-limit', '2');
	t.is(partlyConfirmed.exitCode, 8);
	t.regex(partlyConfirmed.err, /error 4004 notConfirmed: accepted, but not confirmed by vm-2, vm-3, vm-9/);
	await fleet.writeVmList(['vm-3']);
	Object.assign(fleet.vms[1], {revision: undefined});
	fleet.vms[0].members = [];
	const afterLeaving = await fleet.run('rate', 'bole', '--rate-per-s', '13', '--wait', '--wait-limit', '2');
	t.is(afterLeaving.exitCode, 0, 'a leaving VM that does not answer does not count as missing');
});

// Guards against a revocation that waits for the store, and against one reported as durable when it is not.
test('withdrawing a key without the store reports which VMs have the revocation and that it is not durable', async t => {
	const {fleet} = await createConfiguredFleet(t);
	await fleet.run('key', 'issue', 'bole', '--id', 'till');
	const loaded = await loadConfiguration(fleet.store);
	const settings = writeTemporaryFile(t, 'storeUrl: http://store\nadminUrls: [http://vm-1, http://vm-2/]\n');
	fleet.vms[0].keys = [...loaded!.document.keys];
	fleet.vms[1].acceptsRevocations = false;
	fleet.store.faults.down = true;
	const result = await fleet.run('--settings', settings, 'key', 'withdraw', 'till');
	t.is(result.exitCode, 6);
	t.regex(result.out, /not durable/);
	t.regex(result.out, /known to: http:\/\/vm-1\nnot known to: http:\/\/vm-2 \(answered with status 503\)/);
	t.deepEqual([...fleet.vms[0].revoked], [loaded!.document.keys[0].sha256]);
	const unknown = await fleet.run('--settings', settings, 'key', 'withdraw', 'other');
	t.is(unknown.exitCode, 9);
	fleet.store.faults.down = false;
	const again = await fleet.run('key', 'withdraw', 'till', '--wait');
	t.is(again.exitCode, 0, again.err);
	const after = await loadConfiguration(fleet.store);
	t.deepEqual(after?.document.keys, []);
});

// Guards against drains and caps of misspelt names, which would have no effect.
test('edits refuse unknown names, usage errors exit with 2, and status works during a store outage', async t => {
	const {fleet} = await createConfiguredFleet(t);
	const codes = [];
	for (const line of [
		'drain vm vm-9',
		'drain rack r1',
		'undrain vm vm-1',
		'cap nothing --max-percent 1 --max-percent-per-minute 1',
		'cap booking --max-percent x --max-percent-per-minute 1',
		'nonsense',
		'--output xml show',
	]) {
		const result = await fleet.run(...line.split(' '));
		codes.push([result.exitCode, /error (\d+)/.exec(result.err)?.[1]]);
	}

	t.deepEqual(codes, [[5, '4005'], [2, '4003'], [5, '4005'], [5, '4005'], [2, '4003'], [2, '4003'], [2, '4003']]);
	const drained = await fleet.run('drain', 'vm', 'vm-1');
	t.is(drained.exitCode, 0);
	const status = await fleet.run('status');
	t.regex(status.out, /vm-1 .*ready, draining/);
	t.true(status.out.split('\n').every(line => line.length <= 80));
	fleet.store.faults.down = true;
	const settings = writeTemporaryFile(t, 'storeUrl: http://store\nadminUrls: [http://vm-2]\n');
	const outage = await fleet.run('--settings', settings, 'status');
	t.is(outage.exitCode, 0);
	t.regex(outage.out, /the store cannot be read \(3000/);
	t.regex(outage.out, /addis-a {2}vm-2 .*ready/);
});

// Guards against a watch that repeats or skips changes, or that ends when the store fails.
test('watch prints each accepted change once, also after a store outage', async t => {
	const {fleet} = await createConfiguredFleet(t);
	const watching = fleet.run('watch', '--count', '3');
	const makeChanges = async (): Promise<void> => {
		await fleet.timers.sleep(100);
		await fleet.run('rate', 'bole', '--rate-per-s', '11');
		fleet.store.faults.down = true;
		fleet.store.wakeAll();
		await fleet.timers.sleep(3000);
		fleet.store.faults.down = false;
		await fleet.run('rate', 'bole', '--rate-per-s', '12');
		await fleet.run('rate', 'bole', '--rate-per-s', '13');
	};

	const [watched] = await Promise.all([watching, makeChanges()]);
	t.deepEqual(watched.out.split('\n').map(line => /revision (\d)/.exec(line)?.[1]), ['2', '3', '4']);
	t.regex(watched.err, /3000/);
});
