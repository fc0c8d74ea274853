/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', 'coverage/**', 'reports/**']},
	{
		files: ['**/*.{js,ts}'],
		rules: {
			// Control loops await their steps sequentially by design.
			'no-await-in-loop': 'off',
		},
	},
	{
		// Rules that need type information apply to TypeScript files only. For files outside the packages' tsconfigs XO
		// generates one, which failed in CI with "file was not found in any of the provided project(s)".
		files: ['**/*.ts'],
		rules: {
			// Members are grouped by topic, with public state next to the code that uses it.
			'@typescript-eslint/member-ordering': 'off',
			// Sockets and CBOR use Buffers; copying them to plain arrays would slow down the hot path.
			'@typescript-eslint/no-restricted-types': 'off',
			// A switch with a default branch counts as exhaustive.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true, requireDefaultForNonUnion: true}],
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// The test runner and fast-check are dependencies of the root package.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			// Completion handlers of the test runner must end the process.
			'unicorn/no-process-exit': 'off',
			// Tests are compiled before they run, so the rule does not find them in the runner's file list.
			'ava/no-ignored-test-files': 'off',
		},
	},
];

export default config;
