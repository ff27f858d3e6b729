"""Upper limits of teams, held as escrowed units."""
