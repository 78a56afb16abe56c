"""meadowpulley tries out new builds on live traffic and votes on them."""
