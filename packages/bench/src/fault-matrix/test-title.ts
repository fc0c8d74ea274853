/** Title of a test without the folder of the workspace packages, which ava leaves out only if all files of a run lie in it. */
export function testTitle(avaTitle: string): string {
	return avaTitle.replace(/^packages › /u, '');
}
