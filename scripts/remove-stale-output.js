// Removes compiled files whose source no longer exists; tsc keeps them, and the test runner would run stale tests.
import {existsSync, readdirSync, rmSync} from 'node:fs';
import path from 'node:path';

const extension = /\.(?:d\.ts|js|js\.map)$/;
for (const name of readdirSync('packages')) {
	const output = path.join('packages', name, 'dist');
	if (!existsSync(output)) {
		continue;
	}

	for (const file of readdirSync(output, {recursive: true})) {
		const source = path.join('packages', name, 'src', file.replace(extension, '.ts'));
		if (extension.test(file) && !existsSync(source)) {
			rmSync(path.join(output, file));
		}
	}
}
