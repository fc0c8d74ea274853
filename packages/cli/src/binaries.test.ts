import {
	accessSync, constants, readdirSync, readFileSync,
} from 'node:fs';
import test from 'ava';

const packagesUrl = new URL('../../', import.meta.url);

// Guards against binaries in build output: npm links binaries at installation, before the build, and skips missing files.
test('the binaries of all packages are executable files outside of build output', t => {
	const paths = readdirSync(packagesUrl).flatMap(name => {
		const {bin = {}} = JSON.parse(readFileSync(new URL(`${name}/package.json`, packagesUrl), 'utf8')) as {bin?: Record<string, string>};
		return Object.values(bin).map(path => `${name}/${path}`);
	});
	t.is(paths.length, 7);
	for (const path of paths) {
		t.false(path.includes('dist/'), `${path} must be outside of dist`);
		t.notThrows(() => {
			accessSync(new URL(path, packagesUrl), constants.X_OK);
		}, `${path} must be executable`);
	}
});
