import {execFileSync, spawnSync} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test from 'ava';

const root = fileURLToPath(new URL('../../../../', import.meta.url));
/** The quickest case of the review takes 12 s on an idle machine. */
const caseTimeoutMs = 90_000;

// Guards against a deploy file, settings template or bundle with which the cases of the review do not start, so that nobody sees whether their rules hold.
test('a case of the review starts gateways from the deploy file, and its rule holds', t => {
	t.timeout(caseTimeoutMs + 30_000);
	execFileSync(process.execPath, ['scripts/bundle.js'], {cwd: root, timeout: 30_000});
	const {status, stdout, stderr} = spawnSync(process.execPath, ['review/5/case.js'], {cwd: root, timeout: caseTimeoutMs, encoding: 'utf8'});
	t.is(status, 0, `${stdout}${stderr}`);
	t.regex(stdout, /the rule held/);
});
