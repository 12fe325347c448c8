package io.knapweedferry.cli.text

/** Formats rows as a plain-text table with left-aligned columns. */
internal object TextTable {
    private const val GAP = "  "

    fun format(
        header: List<String>,
        rows: List<List<String>>,
    ): String {
        val all = listOf(header) + rows
        val widths = header.indices.map { column -> all.maxOf { it[column].length } }
        return all.joinToString("\n") { row -> row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString(GAP).trimEnd() }
    }
}
