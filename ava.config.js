const config = {
	files: ['packages/*/dist/**/*.test.js', 'platform/dist/**/*.test.js'],
	timeout: '150s',
	concurrency: 4,
	environmentVariables: {
		FESCUEWICK_LOG: 'silent',
		UV_USE_IO_URING: '0',
	},
};

export default config;
