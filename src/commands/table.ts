/** Widest cell of a table; longer values are cut off and can be read as JSON. */
const maxCellWidth = 60;

/**
 * Formats rows in columns.
 *
 * @param rows - Rows with the heading first.
 * @returns Lines, each ended by a line feed.
 */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const cells = rows.map(row =>
    row.map(cell =>
      cell.length > maxCellWidth
        ? `${cell.slice(0, maxCellWidth - 3)}...`
        : cell,
    ),
  );
  const widths = (cells[0] ?? []).map((_, column) =>
    Math.max(...cells.map(row => row[column]?.length ?? 0)),
  );
  return cells
    .map(row => row.map((cell, column) => cell.padEnd(widths[column])))
    .map(row => `${row.join('  ').trimEnd()}\n`)
    .join('');
}
