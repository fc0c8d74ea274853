import test from 'ava';
import {z} from 'zod';
import {formatProblem, parseYaml} from './index.js';

const schema = z.strictObject({listen: z.strictObject({port: z.int().positive()}), name: z.string()});

// Guards against settings errors without the position of the fault in the file.
test('problems name file, line and path', t => {
	const {problems} = parseYaml('listen:\n  port: -1\n  extra: 2\nname: a\n', 'vm.yaml', schema);
	t.deepEqual(problems.map(problem => [problem.line, problem.path]), [[2, 'listen.port'], [3, 'listen.extra']]);
	t.true(formatProblem(problems[0]).startsWith('vm.yaml:2: listen.port: '));
});

// Guards against a duplicate key silently overriding an earlier one.
test('duplicate keys and syntax errors are reported', t => {
	t.is(parseYaml('name: a\nname: b\n', 'vm.yaml', schema).problems[0].line, 2);
	t.truthy(parseYaml('listen: [', 'vm.yaml', schema).problems[0]);
});
